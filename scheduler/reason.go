package scheduler

import (
	"strconv"
	"strings"
	"time"
)

// Rule identifies the rule behind a decision.
type Rule string

// Reason is the rule behind a decision and the values that it was applied to.
type Reason struct {
	Rule         Rule          `json:"rule"`
	Organisation string        `json:"organisation,omitempty"`
	Shape        string        `json:"shape,omitempty"`
	Worker       string        `json:"worker,omitempty"`
	Job          string        `json:"job,omitempty"`
	Count        int           `json:"count,omitempty"`
	Limit        int           `json:"limit,omitempty"`
	Span         time.Duration `json:"span,omitempty"`
}

// The rules, in the order in which they can apply to a job.
const (
	RuleAdmitted            Rule = "admitted"
	RuleRestored            Rule = "restored"
	RuleUnknownClass        Rule = "unknownClass"
	RuleUnknownOrganisation Rule = "unknownOrganisation"
	RuleImpossibleShape     Rule = "impossibleShape"
	RuleNeverFits           Rule = "neverFits"
	RuleTooMuchMemory       Rule = "tooMuchMemory"
	RuleQueueFull           Rule = "queueFull"
	RuleShed                Rule = "shed"
	RuleStoreUnavailable    Rule = "storeAway"
	RuleNoOwner             Rule = "noOwner"
	RuleDocumentUnconfirmed Rule = "documentUnsure"
	RuleDirect              Rule = "direct"
	RuleDeadline            Rule = "deadlinePassed"
	RuleGuaranteed          Rule = "withinGuarantee"
	RuleLent                Rule = "lent"
	RuleSpare               Rule = "spare"
	RuleProbe               Rule = "probe"
	RuleWaitsForShape       Rule = "waitsForShape"
	RuleWaitsForReclaim     Rule = "waitsForReclaim"
	RuleWaitsForRetry       Rule = "waitsForRetry"
	RuleReserved            Rule = "reserved"
	RuleReclaimed           Rule = "reclaimed"
	RulePreemptedByUrgent   Rule = "madeRoomForUrgent"
	RulePreemptedByGang     Rule = "madeRoomForGang"
	RuleCancelled           Rule = "cancelled"
	RuleRunLimit            Rule = "runLimit"
	RuleMemberLost          Rule = "memberLost"
	RuleWorkerLeaving       Rule = "workerLeaving"
	RuleWorkerSilent        Rule = "workerSilent"
	RuleNotStarted          Rule = "notStarted"
	RuleRetried             Rule = "retried"
	RuleJobAtFault          Rule = "jobsFault"
	RuleFailed              Rule = "failed"
	RuleFinished            Rule = "finished"
	RuleOutcomeUnknown      Rule = "outcomeUnknown"
	RuleMemoryThrottled     Rule = "memoryThrottled"
	RuleMemoryStopped       Rule = "memoryStopped"
	RuleWorkerQuarantined   Rule = "workerQuarantined"
	RuleWorkerProbing       Rule = "workerProbing"
	RuleWorkerRestored      Rule = "workerBack"
	RuleGuaranteeBroken     Rule = "guaranteeBroken"
	RuleGuaranteeRestored   Rule = "guaranteeRestored"
)

// sentences maps each rule to its sentence, with the fields of Reason in braces.
var sentences = map[Rule]string{
	RuleAdmitted:            "Admitted as number {count} of at most {limit} waiting in its class for {organisation}.",
	RuleRestored:            "Taken over from the table by a new owner.",
	RuleUnknownClass:        "The document has no class of this name.",
	RuleUnknownOrganisation: "The document has no organisation of this name.",
	RuleImpossibleShape:     "The shape {shape} is not one of 1, 2, 4, ... accelerators within a worker or 2, 4, 8, ... whole workers within a rack.",
	RuleNeverFits:           "No set of known workers has {shape}, so it can never run; ask for less or add workers.",
	RuleTooMuchMemory:       "It declares {count} MB on a worker, but the share of its accelerators is {limit} MB; ask for more accelerators.",
	RuleQueueFull:           "{organisation} has {count} jobs waiting in this class, the limit is {limit}; try again in {span}.",
	RuleShed:                "{count} jobs wait in all, the limit is {limit}; the class that comes last is turned away first.",
	RuleNoOwner:             "No owner of the service could be reached in time.",
	RuleDocumentUnconfirmed: "This entry could confirm its version of the document with neither the table nor another entry.",
	RuleDirect:              "No owner could be reached, so that the entry placed it on {worker} itself.",
	RuleStoreUnavailable:    "The platform's table is away, so that the job could not be recorded.",
	RuleDeadline:            "Its deadline passed {span} ago and it had not started.",
	RuleGuaranteed:          "Runs on {shape} that the document guarantees to {organisation}.",
	RuleLent:                "{organisation} borrows {shape} that nobody uses; it can be taken back at any time.",
	RuleSpare:               "Runs on {shape} that no guarantee needs.",
	RuleProbe:               "Tries out {worker}, which was quarantined.",
	RuleWaitsForShape:       "Waits for {shape}: no rack or worker has it free, and {organisation} has none of its guarantee left for it.",
	RuleWaitsForReclaim:     "Waits until {count} lent jobs have left {shape} that is being reclaimed for it.",
	RuleWaitsForRetry:       "Waits {span} before the next attempt.",
	RuleReserved:            "It waits first among gangs; {worker} and its neighbours are kept for it and will be clear in about {span}.",
	RuleReclaimed:           "{organisation} reclaims {shape} of its guarantee for job {job}.",
	RulePreemptedByUrgent:   "Urgent job {job} of {organisation} comes first in the document's order.",
	RulePreemptedByGang:     "Moved to open {shape} for gang {job} of {organisation}, which had lost more by waiting ({span}).",
	RuleCancelled:           "The caller cancelled it.",
	RuleRunLimit:            "It ran for {span}, longer than its class allows.",
	RuleMemberLost:          "Worker {worker} was lost; a gang runs on all its workers or on none.",
	RuleWorkerLeaving:       "Worker {worker} is leaving.",
	RuleWorkerSilent:        "Worker {worker} does not answer.",
	RuleNotStarted:          "Worker {worker} affirmed that the attempt did not start and no longer can.",
	RuleRetried:             "Failed on {worker}; failure {count} of at most {limit}; tried elsewhere after {span}.",
	RuleJobAtFault:          "Failed on {count} different workers, the last was {worker}; the fault lies with the job.",
	RuleFailed:              "Failed on {worker}.",
	RuleFinished:            "Finished after {span}.",
	RuleOutcomeUnknown:      "Nobody can tell whether it ran to its end, since {worker} was lost; it is not repeated because its class is not idempotent.",
	RuleMemoryThrottled:     "Uses {count} MB on {worker}, its share is {limit} MB.",
	RuleMemoryStopped:       "Used {count} MB on {worker}, far over its share of {limit} MB.",
	RuleWorkerQuarantined:   "Worker {worker} failed {count} different jobs in a row and gets no work for {span}.",
	RuleWorkerProbing:       "Worker {worker} gets one idempotent job to try it out.",
	RuleWorkerRestored:      "Worker {worker} is in use.",
	RuleGuaranteeBroken:     "{count} of the shapes {shape} guaranteed to {organisation} do not fit the workers that are left.",
	RuleGuaranteeRestored:   "All shapes {shape} guaranteed to {organisation} fit again.",
}

// Sentence returns the reason as an English sentence.
func (r Reason) Sentence() string {
	text, ok := sentences[r.Rule]
	if !ok {
		return string(r.Rule)
	}
	return strings.NewReplacer(
		"{organisation}", r.Organisation,
		"{shape}", r.Shape,
		"{worker}", r.Worker,
		"{job}", r.Job,
		"{count}", strconv.Itoa(r.Count),
		"{limit}", strconv.Itoa(r.Limit),
		"{span}", r.Span.Round(time.Millisecond).String(),
	).Replace(text)
}
