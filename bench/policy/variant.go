package policy

// choiceKind is a policy for the choice of a replica.
type choiceKind int

const (
	chooseRandom   choiceKind = iota
	chooseLeast               // lowest reported load
	chooseTwo                 // two choices on reports
	chooseTwoOwn              // two choices with own calls in flight: route.Pick without prefixes
	chooseLeastOwn            // lowest load with own calls in flight, over all replicas
	choosePrefix              // route.Pick
	chooseHolder              // route.Pick between a holder of the prefix and a random replica
)

// admitKind is a policy for admission at the router.
type admitKind int

const (
	admitAll   admitKind = iota
	admitBound           // bounded queue
	admitSplit           // bounded queue and budget.Split
)

// limitKind is a policy for the limit of an upstream.
type limitKind int

const (
	limitNone     limitKind = iota
	limitFixed              // the warm bound
	limitAdaptive           // limit.Limiter
)

// retryKind is a policy for retries of failed attempts.
type retryKind int

const (
	retryImmediate retryKind = iota // up to maxAttempts at once, whatever the error
	retryBackoff                    // up to maxAttempts with back-off
	retryBudget                     // budget.Retry
	retryNever
)

// maxAttempts bounds the attempts of the policies without a budget.
const maxAttempts = 4

// Policy is one combination of the policies that are compared.
type Policy struct {
	Name             string
	choice           choiceKind
	admit            admitKind
	limit            limitKind
	retry            retryKind
	fairQueue        bool    // share.Queue, otherwise first come, first served
	chargeActual     bool    // correct the queue's estimates by the actual cost
	estimateQuantile float64 // part of calls that the estimate of a stage covers; 0 for the average
	cancelLate       bool    // work past its deadline is cancelled
	countFailures    bool    // own calls that failed in the last second count as load
	avoidFailed      bool    // a retry avoids the replicas that failed before
}

var (
	naive = Policy{Name: "naive"}
	ours  = Policy{
		Name: "ours", choice: choosePrefix, admit: admitSplit, limit: limitAdaptive, retry: retryBudget, fairQueue: true,
		cancelLate: true, estimateQuantile: 0.95,
	}
	// plain is the usual set-up without the decision packages.
	plain = Policy{
		Name: "plain", choice: chooseTwo, admit: admitBound, limit: limitFixed, retry: retryBackoff, cancelLate: true,
	}
)

// with returns p under another name after a change.
func (p Policy) with(name string, change func(*Policy)) Policy {
	p.Name = name
	change(&p)
	return p
}
