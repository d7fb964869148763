package main

import "sync"

// gangs knows which tasks of which attempts wait for one another (PROTOCOL, "Gangs"). An orderly stop of a
// gang is not played: a gang's task that is told to stop exits at once.
type gangs struct {
	mu       sync.Mutex
	attempts map[taskAttempt]*gangAttempt // by job and attempt
}

type gangAttempt struct {
	members   map[*task]*Machine
	isRunning bool
}

func gangOf(t *task) taskAttempt {
	job, _ := splitPiece(t.piece)
	return taskAttempt{job, t.try}
}

// join adds a task that has its image. Once all have theirs, all run.
func (g *gangs) join(m *Machine, t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.attempts == nil {
		g.attempts = map[taskAttempt]*gangAttempt{}
	}
	attempt := g.attempts[gangOf(t)]
	if attempt == nil {
		attempt = &gangAttempt{members: map[*task]*Machine{}}
		g.attempts[gangOf(t)] = attempt
	}
	attempt.members[t] = m
	if len(attempt.members) < t.job.Pieces || attempt.isRunning {
		return
	}
	attempt.isRunning = true
	for member, machine := range attempt.members {
		go func() {
			machine.mu.Lock()
			defer machine.mu.Unlock()
			if !machine.isOff && machine.tasks[member.taskAttempt] == member && member.state == "waiting" {
				machine.runTask(member)
			}
		}()
	}
}

// leave removes a task. The others of a running gang are told.
func (g *gangs) leave(t *task, isDone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.attempts[gangOf(t)]
	if attempt == nil {
		return
	}
	delete(attempt.members, t)
	if !attempt.isRunning {
		return
	}
	for member, machine := range attempt.members {
		go machine.gangEnds(member, isDone)
	}
}
