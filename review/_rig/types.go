package main

var yards = []string{"thies-hall", "mbour-store"}

// compressorTypes are the machine types of the compressor co-operative.
func compressorTypes() []machineType {
	return []machineType{
		{Label: "piston", Cores: 4, MemoryGb: 16, LocalGb: 50, FetchGbPerS: 0.5, Rate: 0.21, SpotPrice: 0.06, BootS: 50, Yards: yards},
		{Label: "turbine", Cores: 64, MemoryGb: 128, LocalGb: 50, FetchGbPerS: 1, Rate: 2.8, SpotPrice: 0.77, BootS: 20, Yards: yards},
	}
}

// licenceTypes are machine types of the licence office.
func licenceTypes() []machineType {
	yards := []string{"coast-room", "delta-room"}
	return []machineType{
		{Label: "skiff", Cores: 4, MemoryGb: 16, LocalGb: 50, FetchGbPerS: 0.4, Rate: 0.3, SpotPrice: 0.1, BootS: 25, Yards: yards},
		{Label: "shrimper", Cores: 32, MemoryGb: 128, LocalGb: 80, FetchGbPerS: 1, Rate: 2.51, SpotPrice: 0.8, BootS: 40, Yards: yards},
	}
}

// loadTest is a linked load test: a gang whose tasks need a turbine each.
func loadTest(id string, pieces int) *jobSpec {
	return &jobSpec{id: id, trade: "bench-test", crew: "atelier-central", shape: "ensemble", rank: "standard", pieces: pieces,
		cores: 60, memory: 100, reckon: 5, runS: 5, pull: 0.5}
}
