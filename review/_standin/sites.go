package main

import "time"

// bayou returns the settings of kit/sites/bayoulicense-batch.toml, with both teams of the operators' days.
func bayou() Site {
	return Site{
		Zones: []string{"coast-room", "delta-room"}, Nodes: 3,
		Builds: []Build{
			{"skiff", 4, 16, 0.4, 0.3, 0.1, 25},
			{"johnboat", 8, 32, 0.8, 0.6, 0.21, 15},
			{"shrimper", 32, 128, 1.0, 2.51, 0.8, 40},
		},
		Teams:  []Team{{"licensing-desk", 0}, {"fisheries-lab", 4}},
		Report: 3 * time.Second, Lease: 26 * time.Second, ListLag: 5 * time.Second, StateLatency: 4 * time.Millisecond,
		GangWaitS: 35, GangPeerS: 8, CancelS: 51,
		StateRPS: 100, StateWriteRPS: 30, StateValueKB: 8, StateTxnOps: 24,
		CloudRPS: 8, SkewMs: 1000, CoreShare: 0.24, RAMMB: 234, Sockets: 2500,
	}
}

// bayouNext returns the settings of kit/change/bayoulicense-batch-next.toml with three controllers: workers
// report every 4 s, and agency-sync is expected to start within 6 s.
func bayouNext() Site {
	site := bayou()
	site.Report = 4 * time.Second
	site.Objectives = []Objective{{"wait", "agency-sync", 6, 0.78}}
	return site
}
