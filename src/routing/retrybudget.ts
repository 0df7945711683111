/**
 * A budget that bounds retries to a share of first attempts, so that an outage of a service cannot be amplified.
 * The budget is an immutable value.
 */

export interface RetryBudget {
  /** Retries that may be made now; grows by the share with each first attempt. */
  readonly balance: number
  readonly share: number
}

const LARGEST_BALANCE = 20

export function newRetryBudget(share: number): RetryBudget {
  return {balance: 0, share}
}

export function noteFirstAttempt(budget: RetryBudget): RetryBudget {
  return {...budget, balance: Math.min(LARGEST_BALANCE, budget.balance + budget.share)}
}

export function canRetry(budget: RetryBudget): boolean {
  return budget.balance >= 1
}

export function noteRetry(budget: RetryBudget): RetryBudget {
  if (!canRetry(budget)) throw new RangeError("A retry needs a balance of at least one.")
  return {...budget, balance: budget.balance - 1}
}
