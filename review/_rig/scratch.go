package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["x1"] = twoGangs }

func bigTypes() []machineType {
	return []machineType{
		{Label: "piston", Cores: 4, MemoryGb: 16, LocalGb: 50, FetchGbPerS: 0.5, Rate: 0.21, SpotPrice: 0.06, BootS: 50, Yards: []string{"thies-hall", "mbour-store"}},
		{Label: "turbine", Cores: 64, MemoryGb: 128, LocalGb: 50, FetchGbPerS: 1, Rate: 2.8, SpotPrice: 0.77, BootS: 20, Yards: []string{"thies-hall", "mbour-store"}},
	}
}

func gang(id string, pieces int) *jobSpec {
	return &jobSpec{id: id, trade: "bench-test", crew: "atelier-central", shape: "ensemble", rank: "standard", pieces: pieces,
		cores: 60, memory: 100, reckon: 5, runS: 5, pull: 0.5}
}

func num(name string, def int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return def
}

func twoGangs(rec *recorder, trouble bool) {
	dep := small()
	if num("N", 3) == 5 {
		dep.nodes = append(dep.nodes, "kiln-3", "kiln-4")
		dep.areas = append(dep.areas, "mbour-store", "thies-hall")
	}
	c := newCluster(rec, dep, bigTypes())
	defer c.stop()
	machines, gangs := num("M", 8), num("G", 3)
	for i := range machines {
		c.cloud.add("turbine", []string{"thies-hall", "mbour-store"}[i%2], false)
	}
	c.startAll()
	time.Sleep(8 * time.Second)
	for i := range gangs {
		go c.submit(gang(fmt.Sprintf("wk-%06d", i), num("P", machines)), "kiln-0")
	}
	start := time.Now()
	first := 0.0
	for range 95 {
		time.Sleep(time.Second)
		done := 0
		for i := range gangs {
			_, s := c.ask(fmt.Sprintf("wk-%06d", i), "kiln-1")
			if s.Status == "running" || s.Status == "done" {
				if first == 0 {
					first = time.Since(start).Seconds()
				}
				done++
			}
		}
		if done == gangs {
			break
		}
	}
	fmt.Println(dep.nodes, machines, gangs, "first start", first, "all", time.Since(start).Seconds())
}
