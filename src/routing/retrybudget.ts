/**
 * Retry budget: limits retries to a share of first attempts, so that retries do not amplify an outage of a service.
 * The budget is an immutable value.
 */

export interface RetryBudget {
  /** Number of retries available; grows by `share` with each first attempt. */
  readonly balance: number
  /** Retries allowed per first attempt. */
  readonly share: number
}

/** Limits the burst of retries after a long time without any. */
const MAX_BALANCE = 20

export function newRetryBudget(share: number): RetryBudget {
  return {balance: 0, share}
}

export function recordFirstAttempt(budget: RetryBudget): RetryBudget {
  return {...budget, balance: Math.min(MAX_BALANCE, budget.balance + budget.share)}
}

export function canRetry(budget: RetryBudget): boolean {
  return budget.balance >= 1
}

export function recordRetry(budget: RetryBudget): RetryBudget {
  if (!canRetry(budget))
    throw new RangeError("The retry budget is exhausted: a retry needs a balance of at least 1.")
  return {...budget, balance: budget.balance - 1}
}
