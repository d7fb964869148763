package controller

import (
	"encoding/hex"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// productionRecords are records and messages as the version in production wrote them
// (deploy/service.toml), in hexadecimal.
func productionRecords(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/production-records.txt")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		name, value, _ := strings.Cut(line, " ")
		b, err := hex.DecodeString(value)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = b
	}
	return out
}

func productionJob() protocol.Job {
	return protocol.Job{ID: "wk-000412", Class: "train", Team: "vision", Shape: protocol.ShapeGang, Priority: 2, Tasks: 16, Cores: 8, GPUs: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, Zone: "a", SingleZone: true, AllowSpot: true, Estimate: 240, CheckpointInterval: 30, CheckpointDuration: 4, Deadline: 900}
}

// Records of the version in production are read as they were meant, and written the same by
// this one where they hold nothing new: a record that goes to and fro loses nothing.
func TestProductionRecordsAreRead(t *testing.T) {
	records := productionRecords(t)
	for name, want := range map[string]any{
		"job":      &shard.JobRecord{Nonce: "n0.1f.7", Job: productionJob(), AcceptedAt: 1700000000.25, Rank: 5, ChunkSize: 4, ChunkShards: []int{0, 2, 1, 0}, Anywhere: true},
		"progress": &shard.Progress{Nonce: "n0.1f.8", DoneRanges: [][2]int{{0, 3}, {7, 9}}, Running: 4, Machines: []string{"i-000001", "i-000002"}, FaultEvidence: 0.5},
		"final":    &shard.FinalRecord{Nonce: "n0.1f.9", Status: protocol.JobCancelled, Tasks: 16, EndedAt: 1700000009.5},
		"roster":   &shard.Roster{Nonce: "n0.1f.a", Machines: []shard.MachineRecord{{ID: "i-000001", Shard: 2, Address: "10.1.0.2:9000", Type: "g8", Zone: "a", Spot: true, Owned: true}}},
		"owner":    &election.OwnerRecord{Nonce: "n0.1f.b", Host: "n1", FencingToken: 41 << 20, PreviousOwnerUntil: 1700000026, TakenByForce: true},
	} {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := protocol.Decode(records[name], got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, %v, want %+v", name, got, err, want)
		}
		if b := protocol.Encode(want); !slices.Equal(b, records[name]) {
			t.Errorf("%s: written as %x, by production as %x", name, b, records[name])
		}
	}
}

// Messages of the version in production are read, and say nothing of a version.
func TestProductionMessagesAreRead(t *testing.T) {
	records := productionRecords(t)
	read := func(name string) *peermsg.Envelope {
		e := &peermsg.Envelope{}
		if err := proto.Unmarshal(records[name], e); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return e
	}
	st := read("status").GetStatus()
	if !st.GetReady() || st.GetVersion() != 0 || st.GetStoreAgeMs() != 120 || len(st.GetShards()) != 1 || st.GetShards()[0].GetFreeCapacity()[0].GetMachine() != "i-000001" || st.GetUnmetDemands()[0].GetTasks() != 16 {
		t.Errorf("status read as %v", st)
	}
	var job protocol.Job
	if err := protocol.Decode(read("ask").GetPlacementRequest().GetJob(), &job); err != nil || !reflect.DeepEqual(job, productionJob()) {
		t.Errorf("ask read as %+v, %v", job, err)
	}
	if news := read("news").GetJobNotice(); news.GetJob() != "wk-000412" || !news.GetCancelled() {
		t.Errorf("news read as %v", news)
	}
}

// productionJobRecord is what the version in production reads of a job, frozen.
type productionJobRecord struct {
	W   string `cbor:"w"`
	Job struct {
		ID       string  `cbor:"id"`
		Tasks    int     `cbor:"n"`
		Rank     int     `cbor:"rk"`
		Estimate float64 `cbor:"es"`
		Deadline float64 `cbor:"dl"`
	} `cbor:"j"`
	At       float64 `cbor:"at"`
	Rank     int     `cbor:"r"`
	Chunk    int     `cbor:"ch"`
	Parts    []int   `cbor:"p"`
	Anywhere bool    `cbor:"an,omitempty"`
}

// productionFinal likewise: the fields that it acts on.
type productionFinal struct {
	Status string `cbor:"s"`
	Tasks  int    `cbor:"n"`
}

// The version in production reads what this one writes: a job that waits has no part, so it
// takes it for nobody's; one that was released is like any other; the end of one that went
// with another is a cancellation.
func TestNewRecordsAreReadByProduction(t *testing.T) {
	waiting := &shard.JobRecord{Nonce: "n", Job: productionJob(), AcceptedAt: 1000}
	waiting.Job.Dependencies = []string{"wk-1", "wk-2"}
	if !waiting.AwaitsDependencies() {
		t.Fatal("it does not wait")
	}
	var old productionJobRecord
	if err := protocol.Decode(protocol.Encode(waiting), &old); err != nil || len(old.Parts) != 0 || old.Job.ID != "wk-000412" || old.Job.Tasks != 16 {
		t.Errorf("a job that waits is read as %+v, %v", old, err)
	}
	released := waiting.Release(1300)
	released.Rank, released.ChunkSize, released.ChunkShards = 3, 16, []int{1}
	old = productionJobRecord{}
	if err := protocol.Decode(protocol.Encode(released), &old); err != nil || !slices.Equal(old.Parts, []int{1}) || old.Chunk != 16 || old.At != 1300 || old.Job.Deadline != 600 {
		t.Errorf("a released job is read as %+v, %v", old, err)
	}
	// Moved by the version before: what it does not know is gone, and is not needed any more.
	back := &shard.JobRecord{}
	if err := protocol.Decode(protocol.Encode(&old), back); err != nil || back.AwaitsDependencies() || back.Job.Deadline != 600 {
		t.Errorf("moved by the version before it is read as %+v, %v", back, err)
	}
	if late := waiting.Release(1950); late.Job.Deadline <= 0 || late.Job.Deadline > 1 {
		t.Errorf("released after its deadline it has %v s", late.Job.Deadline)
	}
	var end productionFinal
	if err := protocol.Decode(protocol.Encode(&shard.FinalRecord{Status: protocol.JobCancelled, Tasks: 16, CancelledWith: "wk-1"}), &end); err != nil || end.Status != string(protocol.JobCancelled) || end.Tasks != 16 {
		t.Errorf("an end is read as %+v, %v", end, err)
	}
}
