package shard

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

// This file tells others what the part has, and moves work and machines to other parts.

// maxFreeReported bounds the free rooms told, largest first, so that a status stays
// a few KB with any number of machines.
const maxFreeReported = 64

// Status is told to all members at each heartbeat.
func (s *Shard) Status(top int) (*peermsg.ShardStatus, []*peermsg.UnmetDemand) {
	now := s.controller.Now()
	slots := dispatch.NewRankSlots(top)
	var gaps []*peermsg.UnmetDemand
	queued := 0
	for _, job := range s.jobsByID() {
		if job.idleTasks == 0 || job.finishing || job.isBorrowed() || job.suspect {
			continue // nothing is rented, and no job goes elsewhere, for what is borrowed or fails
		}
		queued += job.idleTasks
		slots.Add(min(job.Record.Rank, top), dispatch.WorkOf(&job.Record.Job, job.idleTasks))
		if now >= job.notBefore && len(gaps) < 64 && !job.gangBroken && !job.gangStopping {
			starts := 0.0
			if job.expectedStart > now {
				starts = (job.expectedStart - now).Seconds()
			}
			gaps = append(gaps, &peermsg.UnmetDemand{ExpectedStartS: starts,
				Job: job.Record.Job.ID, Tasks: int32(job.idleTasks), WaitedS: (now - job.queuedAt).Seconds(),
				Shard: int32(s.ID), MissingTasks: int32(s.missingTasks(job, now)), OverdueTasks: int32(s.lateTasks(job, now)), Zone: job.placedZone()})
		}
	}
	out := &peermsg.ShardStatus{Shard: int32(s.ID), QueuedWork: slots.Work}
	for _, c := range slots.Jobs {
		out.QueuedJobs = append(out.QueuedJobs, int32(c))
	}
	for _, machine := range s.machinesByID() {
		if machine.retireReason != "" {
			out.RetiringMachines = append(out.RetiringMachines, machine.ID)
		} else if t := s.controller.MachineType(machine.Type); t != nil && machine.IsUnreachable() {
			out.UnreachableCores += t.Cores
		}
	}
	rooms := s.freeCapacities(now)
	sort.SliceStable(rooms, func(a, b int) bool { return rooms[a].cores > rooms[b].cores })
	for _, r := range rooms {
		if r.cores <= epsilon || len(out.FreeCapacity) >= maxFreeReported {
			break
		}
		if r.machine.reservation != nil || r.machine.suspect {
			continue // for the head; the others are free for what does not delay it
		}
		out.FreeCapacity = append(out.FreeCapacity, &peermsg.FreeCapacity{Type: r.machine.Type, Zone: r.machine.Zone, Spot: r.machine.Spot, Cores: r.cores, Gpus: r.gpus, MemoryGb: r.memory,
			Machine: r.machine.ID, Empty: len(r.machine.Attempts) == 0, Permanent: r.machine.record.Owned, Reclaimable: r.cores+r.reclaimable.cores >= r.machineType.Cores-epsilon})
	}
	slog.Debug("part: status", "part", s.ID, "machines", len(s.Machines), "jobs", len(s.Jobs), "queued", queued, "free", out.FreeCapacity, "head", s.headJob != nil)
	return out, gaps
}

// tasksNeededTogether is how many of a job's tasks need room in this part, whatever others have:
// all of a gang, one of a team with a limit, whose work stays here. (Its part had lost
// its last machine that could take them, none could be rented, and its jobs waited for
// ever beside idle machines of other parts: seven of 600 random days.)
func (s *Shard) tasksNeededTogether(spec *protocol.Job) int {
	switch t := s.controller.Settings().Team(spec.Team); {
	case spec.Shape == protocol.ShapeGang:
		return spec.Tasks
	case t != nil && t.Limited():
		return 1
	}
	return 0
}

// missingTasks counts those for which the part's machines, were they empty, have no room: the
// leader has machines lent to the part.
func (s *Shard) missingTasks(job *QueuedJob, now time.Duration) int {
	spec := &job.Record.Job
	return s.shortfall(spec, func(machine *Machine) int {
		if machine.retireReason != "" || machine.IsUnreachable() || now-machine.LastHeartbeat > 3*s.reportInterval() || machine.lentUntil > now || s.unfitForGang(machine, job, now) {
			return 0
		}
		return s.controller.MachineType(machine.Type).TasksThatFit(spec, spec.Tasks)
	})
}

// lateTasks counts those of a job that has not begun, though it should soon, for which
// nothing is free now. Its part could hold it; but what is there may be others'
// for minutes. A team's limit that is used up is no lack of room. (Hunted day
// visitors 525561969326: a gang of three waited for 416 s in a part of five large
// machines, while later ones began at once in other parts.)
func (s *Shard) lateTasks(job *QueuedJob, now time.Duration) int {
	spec := &job.Record.Job
	if s.isStuckArray(job) {
		return 1
	}
	if score := &s.controller.Settings().Score; s.tasksNeededTogether(spec) == 0 || s.lateStartBoost(job, s.controller.WallSeconds()-job.Record.AcceptedAt) < score.BeginWeight {
		return 0
	}
	if !s.remainingTeamQuota(spec.Team).allowsTask(spec) {
		return 0
	}
	return s.shortfall(spec, func(machine *Machine) int {
		r := s.freeCapacityOf(machine, now)
		if r == nil || s.unfitForGang(machine, job, now) {
			return 0
		}
		return max(0, r.asMachineType().TasksThatFit(spec, spec.Tasks))
	})
}

// isStuckArray: some of an array has waited for long in a part in which another of its tasks has
// started, so that the rest cannot move to where room is. The leader lends the part a machine
// that is idle in one where nothing waits. (Random day 10526: 16 tasks in a part with one
// machine, for 114 s beside machines of other parts that went back as idle.)
func (s *Shard) isStuckArray(job *QueuedJob) bool {
	spec := &job.Record.Job
	return spec.Shape == protocol.ShapeArray && !spec.SpreadZones && s.tasksNeededTogether(spec) == 0 && job.placedTasks > 0 && job.idleTasks > 0 && !job.suspect && !job.isBorrowed() &&
		s.controller.WallSeconds()-job.Record.AcceptedAt > s.controller.Settings().Score.Begin/4
}

// placedZone is the zone in which a job in one zone is; "": it may be in any.
func (q *QueuedJob) placedZone() string {
	if q.Record.Job.SingleZone {
		for _, pl := range q.placements {
			return pl.machine.Zone
		}
	}
	return ""
}

// shortfall counts the tasks that need room here beyond what there is room for on the part's
// machines, all zones together or each by itself, as it may be placed.
func (s *Shard) shortfall(spec *protocol.Job, room func(machine *Machine) int) int {
	roomByZone, need := map[string]int{}, s.tasksNeededTogether(spec)
	if need == 0 {
		return 0
	}
	for _, machine := range s.machinesByID() {
		if s.canRunOn(machine, spec) {
			roomByZone[machine.Zone] += room(machine)
		}
	}
	return max(0, need-MaxPlaceable(spec, roomByZone))
}

// MaxPlaceable gives how many of a job's tasks may be together in the room that zones
// have: in the best of them for a job in one zone, at most half of the tasks (the
// larger half) in each for one apart. (Without the latter a gang apart went to and
// fro between parts of one zone each for ever, as each seemed to have room.)
func MaxPlaceable(spec *protocol.Job, room map[string]int) int {
	sum, most := 0, 0
	for _, k := range room {
		most = max(most, k)
		if spec.SpreadZones {
			k = min(k, MaxPerZone(spec))
		}
		sum += k
	}
	if spec.SingleZone {
		return most
	}
	return sum
}

// MaxPerZone is the most tasks that a job apart may have in one zone.
func MaxPerZone(spec *protocol.Job) int { return (spec.Tasks + 1) / 2 }

// LendMachine hands a machine over as soon as nothing is, or may be, on it.
func (s *Shard) LendMachine(id string, to int) {
	now := s.controller.Now()
	machine := s.Machines[id]
	if machine == nil || to == s.ID || machine.retireReason != "" {
		return
	}
	machine.lentUntil = now + s.reportInterval() // nothing new; the leader asks again
	if len(machine.Attempts) > 0 || !machine.Reconciled || machine.CommandsUncertain() || machine.handingOver {
		return
	}
	machine.handingOver = true
	s.controller.ReassignMachine(id, to, s.guard,
		func() bool {
			return s.Machines[id] == machine && len(machine.Attempts) == 0 && !machine.CommandsUncertain()
		},
		func(ok bool) {
			machine.handingOver = false
			if ok {
				slog.Info("part: machine lent", "machine", id, "from", s.ID, "to", to)
			}
		})
}

// MoveQueuedChunk hands a queued chunk to a part that has free room for it now, beside
// what its head is reserved; others are the parts' latest statuses. At most one
// move is under way.
func (s *Shard) MoveQueuedChunk(others []*peermsg.ShardStatus) {
	now := s.controller.Now()
	if !s.controller.CanLaunch() {
		return
	}
	for _, job := range s.rankedQueue(now) {
		spec := &job.Record.Job
		if t := s.controller.Settings().Team(spec.Team); t != nil && t.Limited() {
			continue
		}
		if job.suspect || now-job.queuedAt < s.reportInterval()/8 || job.isBorrowed() && now-job.queuedAt < 2*s.reportInterval() {
			continue // what is borrowed needs its home's word anew in another part
		}
		for chunk, shardID := range job.Record.ChunkShards {
			if shardID != s.ID {
				continue
			}
			n, on := job.chunkState(chunk)
			if on || n == 0 {
				continue
			}
			for _, o := range others {
				if int(o.Shard) != s.ID && s.claimRemoteRoom(job, n, o, now) {
					s.moveChunk(job, chunk, int(o.Shard))
					return
				}
			}
		}
	}
}

// claimRemoteRoom counts the tasks that fit into another part's free room, and takes
// them from the copy of its status, so that the next move sees the rest.
func (s *Shard) claimRemoteRoom(job *QueuedJob, n int, other *peermsg.ShardStatus, now time.Duration) bool {
	spec, roomByZone := &job.Record.Job, map[string]int{}
	for _, room := range other.FreeCapacity {
		// Twice as long as it waits for kept machines here: it would else be sent
		// to and fro, each part having had no time to start it.
		t := s.controller.MachineType(room.Type)
		roomByZone[room.Zone] += min(n, CountFitting(s.controller, spec, room, t == nil || !s.isStarved(job, t, 2, now)))
	}
	fit := MaxPlaceable(spec, roomByZone)
	want := n
	switch {
	case job.isGang():
	case s.lacksSuitableMachine(spec):
		want = 1
	default:
		want = (n + 1) / 2
	}
	if fit < want {
		return false
	}
	left := n
	for _, room := range other.FreeCapacity {
		k := min(CountFitting(s.controller, spec, room, false), left)
		room.Cores -= float64(k) * spec.Cores
		room.Gpus -= float64(k) * spec.GPUs
		room.MemoryGb -= float64(k) * spec.MemoryGB
		left -= k
	}
	return true
}

// lacksSuitableMachine: no machine of the part can take a task of the job, now or later. It then goes
// to wherever one can begin. (All machines of a part were deaf and returned, the cloud
// had no others, and no other part had room for half of what waited there: it waited
// for ever beside idle machines.)
func (s *Shard) lacksSuitableMachine(spec *protocol.Job) bool {
	return !slices.ContainsFunc(s.machinesByID(), func(machine *Machine) bool { return machine.retireReason == "" && s.canRunOn(machine, spec) })
}

func (s *Shard) moveChunk(job *QueuedJob, chunk, to int) {
	id := job.Record.Job.ID
	job.moving = true
	store := s.controller.Store()
	store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job || chunk >= len(job.Record.ChunkShards) || job.Record.ChunkShards[chunk] != s.ID {
				return nil, nil
			}
			if _, on := job.chunkState(chunk); on {
				return nil, nil
			}
			record := *job.storedRecord
			record.Nonce = nonce
			record.ChunkShards = append([]int(nil), record.ChunkShards...)
			record.ChunkShards[chunk] = to
			return []protocol.Condition{s.guard(), {Key: JobKey(id), Revision: job.Revision}}, []protocol.Mutation{{Put: JobKey(id), Value: protocol.Encode(&record)}}
		},
		Done: func(ok bool, _ uint64) {
			job.moving = false
			s.needsPass = true
			if ok {
				slog.Info("part: chunk moved to free room", "job", id, "chunk", chunk, "from", s.ID, "to", to)
				s.forgetIfGone(job)
			}
		},
	})
}

// WaitReasons says for each queued job why it waits.
func (s *Shard) WaitReasons() map[string]string {
	out := map[string]string{}
	for id, w := range s.Jobs {
		if w.idleTasks > 0 {
			out[id] = string(w.waitReason)
		}
	}
	return out
}
