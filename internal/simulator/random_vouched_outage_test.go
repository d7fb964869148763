package simulator

import (
	"fmt"
	"math/rand/v2"

	"curlewspool/internal/env"
)

// randomVouchedOutage is what each of those days has.
func (c *Cluster) randomVouchedOutage(random *rand.Rand, machines []*Machine, at float64) string {
	cancel := c.Settings.Deployment.Workers.Cancel
	lasts := (0.4 + random.Float64()) * cancel
	c.At(at, func() { c.State.StartOutage(env.Seconds(lasts)) })
	alone := c.controllerNames[random.IntN(3)]
	from := at - 12*random.Float64()
	if random.IntN(2) == 0 {
		c.At(from, func() { c.SetRefusal(alone, "state", true) })
		c.At(from+14*random.Float64(), func() { c.SetRefusal(alone, "state", false) })
	}
	if random.IntN(2) == 0 {
		c.At(at-3*random.Float64(), func() { c.after(env.Seconds(lasts/2), c.IsolateController(alone)) })
	}
	if random.IntN(2) == 0 {
		machine := machines[random.IntN(len(machines))]
		c.cutLinksFor(at-2, at+lasts*1.5*random.Float64(), c.machineLinks(machine))
	}
	for range random.IntN(3) {
		c.restartQuickly(at+(lasts+8)*random.Float64()-4, c.randomMoment(random).Seconds(), func() *ControllerProcess { return c.Controllers[c.controllerNames[random.IntN(3)]] })
	}
	for i := range 5 {
		c.Cancel(at-6+8*random.Float64(), fmt.Sprintf("wk-%d", i+1))
	}
	c.histories.FaultsOver = max(c.histories.FaultsOver, env.Seconds(at+2*lasts+20))
	return fmt.Sprintf("%.1f an outage (%.1f)", at, lasts)
}
