package once

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

// Fault is the way in which a platform call failed.
type Fault uint8

// Faults of platform calls.
const (
	FaultNone Fault = iota
	// FaultExists means that a create found an object of that name.
	FaultExists
	// FaultConflict means that the stored version differs.
	FaultConflict
	// FaultNotFound means that there is no such object.
	FaultNotFound
	// FaultRefused means that the call had no effect and never will.
	FaultRefused
	// FaultUncertain means that the call may have taken effect or may still do so.
	FaultUncertain
)

// Event is an input of the machine.
type Event interface{ event() }

// Begin starts the machine.
type Begin struct{}

// Created reports the completion of ActCreate; Version is set without a fault.
type Created struct {
	Version uint64
	Fault   Fault
}

// ReadCompleted reports the completion of ActRead; Record and Version are set without a fault.
type ReadCompleted struct {
	Record  command.Record
	Version uint64
	Fault   Fault
}

// Dispatched reports the completion of ActDispatch.
type Dispatched struct{ Result command.DispatchResult }

// Updated reports the completion of ActUpdate.
type Updated struct {
	Version uint64
	Fault   Fault
}

// Deleted reports the completion of ActDelete.
type Deleted struct{ Fault Fault }

// WaitElapsed reports the completion of ActWait.
type WaitElapsed struct{}

// CallersDisconnected means that no caller waits any more. It may occur at any time.
type CallersDisconnected struct{}

// Abort means that the node has to stop. The outstanding action, if any, was not
// carried out and will not be.
type Abort struct{}

func (Begin) event()               {}
func (Created) event()             {}
func (ReadCompleted) event()       {}
func (Dispatched) event()          {}
func (Updated) event()             {}
func (Deleted) event()             {}
func (WaitElapsed) event()         {}
func (CallersDisconnected) event() {}
func (Abort) event()               {}

// Action is an instruction to the driver. Except ActRespond and ActEnd, each
// action ends with one event, and only one is outstanding at a time.
type Action interface{ action() }

// ActCreate stores the claim.
type ActCreate struct{ Record command.Record }

// ActRead reads the claim's object.
type ActRead struct{}

// ActDispatch sends the command to one leaf. The driver must not send a byte
// after Until.
type ActDispatch struct {
	Attempt int
	Target  command.Target
	Until   time.Time
}

// ActUpdate replaces the claim's object, stored at Version.
type ActUpdate struct {
	Version uint64
	Record  command.Record
}

// ActDelete deletes the claim's object, stored at Version.
type ActDelete struct{ Version uint64 }

// ActWait starts a timer.
type ActWait struct{ For time.Duration }

// ActRespond sends the result to the callers. It is returned at most once.
type ActRespond struct{ Result command.Result }

// ActEnd ends the machine.
type ActEnd struct{}

func (ActCreate) action()   {}
func (ActRead) action()     {}
func (ActDispatch) action() {}
func (ActUpdate) action()   {}
func (ActDelete) action()   {}
func (ActWait) action()     {}
func (ActRespond) action()  {}
func (ActEnd) action()      {}
