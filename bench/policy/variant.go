package policy

// choiceKind is a policy for the choice of a replica.
type choiceKind int

// The order matters: up to chooseTwo the policies use reports alone, and from
// choosePrefix on they use cached prefixes.
const (
	chooseRandom   choiceKind = iota
	chooseLeast               // lowest reported load
	chooseTwo                 // lower reported load of two random replicas
	chooseTwoOwn              // route.Pick without prefixes: two random replicas, own calls in flight included
	chooseLeastOwn            // lowest load of all replicas, own calls in flight included
	choosePrefix              // route.Pick
	chooseHolder              // route.Pick between a random replica with the cached prefix and any random replica
)

// admitKind is a policy for admission at the router.
type admitKind int

const (
	admitAll   admitKind = iota // unbounded queue
	admitBound                  // bounded queue
	admitSplit                  // bounded queue and budget.Split
)

// limitKind is an agent's policy for the concurrency limit of its upstream.
type limitKind int

const (
	limitNone     limitKind = iota
	limitFixed              // slots of a warm upstream
	limitAdaptive           // limit.Limiter
)

// retryKind is a policy for retries of failed attempts.
type retryKind int

const (
	retryImmediate retryKind = iota // up to maxAttempts without delay
	retryBackoff                    // up to maxAttempts with back-off
	retryBudget                     // budget.Retry
	retryNever
)

// maxAttempts limits the attempts per stage of the policies without a retry budget.
const maxAttempts = 4

// Policy is one combination of policies to compare. Its name appears in the tables.
type Policy struct {
	Name             string
	choice           choiceKind
	admit            admitKind
	limit            limitKind
	retry            retryKind
	fairQueue        bool    // use share.Queue instead of first come, first served
	chargeActual     bool    // charge share.Queue for the tokens of the answer too, once the call ends
	estimateQuantile float64 // quantile of call durations used as stage estimate; 0 for the mean
	cancelLate       bool    // cancel calls at their stage deadline
	countFailures    bool    // count own calls that failed within failureWindow as load
	avoidFailed      bool    // don't retry on replicas that refused or failed the stage
}

var (
	// naive has unbounded queues and no concurrency limit, chooses replicas at random
	// and retries without delay.
	naive = Policy{Name: "naive"}
	// ours uses the decision packages.
	ours = Policy{
		Name: "ours", choice: choosePrefix, admit: admitSplit, limit: limitAdaptive, retry: retryBudget, fairQueue: true,
		cancelLate: true, estimateQuantile: 0.95,
	}
	// plain is a common set-up without the decision packages: two choices on reports,
	// a bounded queue, a fixed limit and retries with back-off.
	plain = Policy{
		Name: "plain", choice: chooseTwo, admit: admitBound, limit: limitFixed, retry: retryBackoff, cancelLate: true,
	}
)

// with returns a copy of p with another name and the given change.
func (p Policy) with(name string, change func(*Policy)) Policy {
	p.Name = name
	change(&p)
	return p
}
