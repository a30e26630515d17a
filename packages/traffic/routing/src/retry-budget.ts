/**
 * Bounds retries to a fraction of the traffic, per pool and per team, so that a
 * failure of many upstreams does not multiply the load on the others.
 */
import type {PoolName, RandomSource} from '@turmericbay/types';

export const retryRatio = 0.1;

/** A caller of a quiet pool may retry too; a long calm spell must not save up a storm. */
const initialRetries = 1;
const maximumRetries = 10;

export type RetryScope = {
	readonly pool: PoolName;
	/** Team, or the open queue that stands for its callers. */
	readonly flow: string;
};

export type RetryBudget = {
	/** Counts one request; retries are not counted. */
	recordRequest(scope: RetryScope): void;
	/** Takes one retry from both budgets; false if either has none. */
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
	/** 1 after the first attempt. */
	readonly attempt: number;
	readonly baseMilliseconds: number;
	readonly maximumMilliseconds: number;
	readonly random: RandomSource;
}): number => Math.floor(Math.min(maximumMilliseconds, baseMilliseconds * (2 ** attempt)) * random());
