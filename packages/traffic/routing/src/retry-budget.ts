/**
 * Limits retries to a fraction of the requests, per pool and per flow, so that a
 * failure of many upstreams does not multiply the load on the others.
 */
import type {PoolName, RandomSource} from '@turmericbay/types';

/** Retries that each request adds to the budgets. */
export const retryRatio = 0.1;

/** Allows a retry to the first callers of a pool with little traffic. */
const initialRetries = 1;
/** Limits the burst of retries after a long period without failures. */
const maximumRetries = 10;

export type RetryScope = {
	readonly pool: PoolName;
	/** Flow of the fair queue: a team, or an open queue for all its callers. */
	readonly flow: string;
};

export type RetryBudget = {
	/** Adds credit for one request; not called for retries. */
	recordRequest(scope: RetryScope): void;
	/** Consumes one retry from the budgets of the pool and the flow; false if either has less than one. */
	tryConsume(scope: RetryScope): boolean;
};

export const createRetryBudget = ({ratio = retryRatio}: {readonly ratio?: number} = {}): RetryBudget => {
	const balancesByPool = new Map<string, number>();
	const balancesByFlow = new Map<string, number>();

	const getBalance = (balances: Map<string, number>, name: string): number => balances.get(name) ?? initialRetries;

	const addCredit = (balances: Map<string, number>, name: string): void => {
		balances.set(name, Math.min(maximumRetries, getBalance(balances, name) + ratio));
	};

	return {
		recordRequest({pool, flow}) {
			addCredit(balancesByPool, pool);
			addCredit(balancesByFlow, flow);
		},
		tryConsume({pool, flow}) {
			if (getBalance(balancesByPool, pool) < 1 || getBalance(balancesByFlow, flow) < 1) {
				return false;
			}

			balancesByPool.set(pool, getBalance(balancesByPool, pool) - 1);
			balancesByFlow.set(flow, getBalance(balancesByFlow, flow) - 1);
			return true;
		},
	};
};

/**
 * Exponential backoff with full jitter. Source: Brooker, "Exponential Backoff
 * and Jitter", AWS Architecture Blog, 2015.
 */
export const computeBackoffMilliseconds = ({attempt, baseMilliseconds, maximumMilliseconds, random}: {
	/** Number of attempts so far. */
	readonly attempt: number;
	readonly baseMilliseconds: number;
	readonly maximumMilliseconds: number;
	readonly random: RandomSource;
}): number => Math.floor(Math.min(maximumMilliseconds, baseMilliseconds * (2 ** attempt)) * random());
