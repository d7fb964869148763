package controller

import (
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"curlewspool/internal/election"
	"curlewspool/internal/federation"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
	"curlewspool/internal/userapi"
)

// debugStateTimeout is the timeout of a request for a controller's state.
const debugStateTimeout = 5 * time.Second

// State describes a controller to operators. It is the answer to GET /debug/state.
type State struct {
	Host   string `cbor:"host" json:"host"`
	Leader string `cbor:"leader" json:"leader"`
	Ready  bool   `cbor:"ready" json:"ready"`
	// Isolated is set if the key-value store does not answer and no other controller's messages
	// arrive.
	Isolated bool `cbor:"isolated" json:"isolated"`
	// Shards lists the shards that the controller owns.
	Shards []ShardState `cbor:"parts" json:"parts"`
	// WaitingJobs maps each queued job of the owned shards to the reason why it waits.
	WaitingJobs map[string]string `cbor:"waiting" json:"waiting"`
	// Jobs and Machines are the numbers of live jobs and of machines in the whole cluster.
	Jobs     int `cbor:"jobs" json:"live_jobs"`
	Machines int `cbor:"machines" json:"machines"`
	// UserAPI is a line with the numbers of cached finished jobs and of pending lookups.
	UserAPI string `cbor:"intake" json:"intake"`
	// SubmitTimes holds the latencies of accepted submissions since the process started.
	SubmitTimes userapi.SubmissionLatencies `cbor:"submits" json:"submits"`
	PeakLoad    PeakLoad                    `cbor:"busiest" json:"busiest_10_s"`
	// Spent is the cost of machines since the controller started, by cause, in the
	// catalog's currency.
	Spent        shard.CostByCause `cbor:"spent" json:"spent"`
	Dependencies DependencyCounts  `cbor:"dependencies" json:"dependencies"`
	// Federation is nil if there are no partner clusters.
	Federation *federation.View `cbor:"federation,omitempty" json:"federation,omitempty"`
}

// DependencyCounts counts jobs that have dependencies.
type DependencyCounts struct {
	Waiting                 int `cbor:"waiting" json:"waiting"`   // number of jobs that wait for a dependency now
	Released                int `cbor:"released" json:"released"` // number of jobs released by this process
	CancelledWithDependency int `cbor:"cascaded" json:"cascaded"` // number of jobs that this process cancelled because a dependency was cancelled
}

// ShardState describes one shard that the controller owns.
type ShardState struct {
	Shard        int    `cbor:"part" json:"part"`
	FencingToken uint64 `cbor:"token" json:"token"`
	Machines     int    `cbor:"machines" json:"machines"`
	Jobs         int    `cbor:"jobs" json:"jobs"`
	// Unreachable lists the machines whose reports arrive but which no answer reaches.
	Unreachable []string `cbor:"deaf" json:"deaf"`
	// Unresponsive is the number of machines that have not yet reported their tasks to this owner.
	Unresponsive int `cbor:"silent" json:"silent"`
}

// DebugState returns the state of this controller, with the shards that it owns and the reasons why
// their jobs wait.
func (c *Controller) DebugState() *State {
	state := &State{
		Host:         c.settings.Name,
		Leader:       c.registry.OwnerOf(election.LeaderKey),
		Ready:        c.isReady(),
		Isolated:     c.isIsolated(),
		Shards:       []ShardState{},
		WaitingJobs:  map[string]string{},
		Jobs:         len(c.jobs),
		Machines:     len(c.machines),
		UserAPI:      c.userAPI.String(),
		SubmitTimes:  *c.userAPI.Latencies(),
		PeakLoad:     c.meter.peakLoad(),
		Spent:        maps.Clone(c.cost.byCause),
		Dependencies: c.dependencyCounts(),
	}
	c.eachShard(func(owned *shard.Shard) {
		state.Shards = append(state.Shards, shardStateOf(owned))
		maps.Copy(state.WaitingJobs, owned.WaitReasons())
	})
	if c.federation != nil {
		state.Federation = c.federation.Describe()
	}
	return state
}

func (c *Controller) dependencyCounts() DependencyCounts {
	return DependencyCounts{
		Waiting:                 c.dependencies.graph.WaitingCount(),
		Released:                c.dependencies.releasedCount,
		CancelledWithDependency: c.dependencies.cancelledCount,
	}
}

func shardStateOf(owned *shard.Shard) ShardState {
	return ShardState{
		Shard:        owned.ID,
		FencingToken: owned.FencingToken,
		Machines:     len(owned.Machines),
		Jobs:         len(owned.Jobs),
		Unreachable:  owned.UnreachableMachines(),
		Unresponsive: owned.UnreconciledCount(),
	}
}

// FetchState requests the state of the controller at address. It returns an error if the
// controller does not answer or if the answer is not a state.
func FetchState(address string) (*State, error) {
	state := &State{}
	if err := fetchDebug(address, debugStatePath, state); err != nil {
		return nil, err
	}
	return state, nil
}

// FetchEventLoopState requests the state of the event loop of the controller at address. The
// controller also answers while its event loop is blocked.
func FetchEventLoopState(address string) (*EventLoopState, error) {
	state := &EventLoopState{}
	if err := fetchDebug(address, eventLoopPath, state); err != nil {
		return nil, err
	}
	return state, nil
}

// fetchDebug requests a path of the controller at address and decodes the answer into state.
func fetchDebug(address, path string, state any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, debugStateTimeout)
	if err != nil {
		return fmt.Errorf("%s does not answer: %w", address, err)
	}
	if status != http.StatusOK || protocol.Decode(body, state) != nil {
		return fmt.Errorf("%s answers %d, not a controller's state", address, status)
	}
	return nil
}
