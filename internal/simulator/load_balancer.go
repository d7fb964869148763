package simulator

import (
	"net"
	"sync"
	"time"

	"curlewspool/internal/protocol"
)

// LoadBalancer is what users of a cluster speak to: it gives each request to a
// healthy controller, and keeps the descriptions of submitted jobs, which
// workers fetch by themselves (users upload them).
type LoadBalancer struct {
	live         *LiveNetwork
	cluster      *Cluster
	addresses    []string
	mu           sync.Mutex
	failedProbes map[string]int
	nextIndex    int
	Address      string
}

// StartLoadBalancer starts it.
func (l *LiveNetwork) StartLoadBalancer(cluster *Cluster) (*LoadBalancer, error) {
	f := &LoadBalancer{live: l, cluster: cluster, failedProbes: map[string]int{}}
	for _, name := range cluster.controllerNames {
		f.addresses = append(f.addresses, cluster.apiAddress(name))
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.Address = l.serve(ln, func(method, path string, body []byte, answer func(response)) { answer(f.forward(method, path, body)) })
	go f.probe()
	return f, nil
}

// probe asks each controller every second whether it can take requests.
func (b *LoadBalancer) probe() {
	for {
		for _, a := range b.addresses {
			status, _ := b.live.exchange(a, "GET", "/up", nil, time.Second)
			b.mu.Lock()
			if status == 200 {
				b.failedProbes[a] = 0
			} else {
				b.failedProbes[a]++
			}
			b.mu.Unlock()
		}
		select {
		case <-b.live.done:
			return
		case <-time.After(time.Second):
		}
	}
}

// HealthyControllers counts the controllers that can take requests.
func (f *LoadBalancer) HealthyControllers() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.addresses {
		if b, probed := f.failedProbes[a]; probed && b == 0 {
			n++
		}
	}
	return n
}

func (f *LoadBalancer) forward(method, path string, body []byte) response {
	if method == "POST" && path == "/v2/runs" {
		var sub protocol.Submission
		if protocol.IsMap(body) && protocol.Decode(body, &sub) == nil {
			if job, err := sub.Validate(); err == nil {
				f.live.Do(func() {
					if f.cluster.jobs[job.ID] == nil {
						f.cluster.jobs[job.ID] = job
					}
				})
			}
		}
	}
	for try := 0; try < 3; try++ {
		f.mu.Lock()
		f.nextIndex++
		api := f.addresses[f.nextIndex%len(f.addresses)]
		for k := 0; k < len(f.addresses) && f.failedProbes[api] > 1; k++ {
			f.nextIndex++
			api = f.addresses[f.nextIndex%len(f.addresses)]
		}
		f.mu.Unlock()
		if status, b := f.live.exchange(api, method, path, body, 5*time.Second); status != 0 {
			return response{status, b}
		}
		f.mu.Lock()
		f.failedProbes[api]++
		f.mu.Unlock()
	}
	return response{503, protocol.Encode(&protocol.ErrorResponse{Error: "no controller answers"})}
}
