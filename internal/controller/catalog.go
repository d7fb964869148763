package controller

import (
	"net/http"
	"time"

	"curlewspool/internal/protocol"
)

const (
	catalogTimeout       = 4 * time.Second
	catalogInterval      = 60 * time.Second
	catalogRetryInterval = time.Second // used until a catalog has been read
)

// fetchCatalog reads the machine types that the cloud offers and schedules the next read. If the
// read fails, the known types are kept.
func (c *Controller) fetchCatalog() {
	catalog := &protocol.Catalog{}
	c.env.Call(c.settings.Services.Cloud, http.MethodGet, "/catalog", nil, catalog, catalogTimeout, func(status int) {
		interval := catalogInterval
		if status == http.StatusOK && len(catalog.MachineTypes) > 0 {
			c.machineTypes = indexMachineTypes(catalog.MachineTypes)
		} else if len(c.machineTypes) == 0 {
			interval = catalogRetryInterval
		}
		jitter := time.Duration(c.env.Rand().Int64N(int64(interval) / 2))
		c.env.After(interval+jitter, c.fetchCatalog)
	})
}

func indexMachineTypes(list []protocol.MachineType) map[string]*protocol.MachineType {
	byName := map[string]*protocol.MachineType{}
	for i := range list {
		byName[list[i].Name] = &list[i]
	}
	return byName
}
