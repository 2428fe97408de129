package peerlink

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of the control traffic that a host sends, as a token
// bucket of bytes. Every byte written to a connection is charged, so the bucket
// can become negative (a debt). Messages about flows wait until the bucket covers
// the whole message, calls and replies until there is no debt; heartbeats never
// wait. Its methods are safe for concurrent use.
type Budget struct {
	limiter *rate.Limiter
	now     func() time.Time
}

// debtPollInterval is the interval at which WaitForTokens checks the debt.
const debtPollInterval = 20 * time.Millisecond

// maxBudgetWait bounds one wait of a flows message, since the budget may be
// changed meanwhile.
const maxBudgetWait = 250 * time.Millisecond

// NewBudget returns a budget of bytesPerSecond. After an idle time, up to burst
// bytes may be sent at once.
func NewBudget(bytesPerSecond, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst), now: time.Now}
}

// Set changes the rate and the burst. The current level of the bucket is kept.
func (b *Budget) Set(bytesPerSecond, burst int) {
	now := b.now()
	b.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
	b.limiter.SetBurstAt(now, burst)
}

// Charge takes n bytes from the bucket, which may become negative.
func (b *Budget) Charge(n int) {
	now := b.now()
	burst := b.limiter.Burst()
	for n > 0 {
		part := min(n, burst)
		b.limiter.ReserveN(now, part)
		n -= part
	}
}

// Delay returns how long a message of n bytes has to wait, 0 if it may be sent
// now. It takes nothing from the bucket. A message larger than the burst waits
// for a full bucket.
func (b *Budget) Delay(n int) time.Duration {
	missing := float64(min(n, b.limiter.Burst())) - b.limiter.TokensAt(b.now())
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second))
	return max(wait, time.Millisecond)
}

// WaitForTokens blocks until there is no debt. It returns the error of ctx if
// that is done first.
func (b *Budget) WaitForTokens(ctx context.Context) error {
	for b.limiter.TokensAt(b.now()) < 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(debtPollInterval):
		}
	}
	return nil
}
