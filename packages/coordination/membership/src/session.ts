/**
 * Session of this process: one key under a lease. Others read it to learn
 * whether the process could still record what it did; this process reads its
 * own clock to learn when its lease must have lapsed.
 */
import {z} from 'zod';
import {StoreErrorKind} from '@turmericbay/types';
import type {
	Clock, InstanceId, KeyValueStore, ProcessIdentity, StoreError,
} from '@turmericbay/types';

export const sessionsPrefix = '/turmericbay/sessions/';
export const sessionKey = (instance: InstanceId): string => `${sessionsPrefix}${instance}`;

/**
 * With a renewal each 3 s and the margin of 2 s a process knows at the latest
 * 12 s after the store went away that no lease of it is alive.
 */
const leaseSeconds = 7;
const renewalIntervalMilliseconds = 3000;
const retryIntervalMilliseconds = 1000;
/** An unanswered call is given up after this time; its late answer is ignored. */
const callTimeoutMilliseconds = 4000;
/**
 * Covers differences in clock rate, the delay until the store removes a lapsed
 * key, and a renewal that reaches the store after the caller has given it up.
 */
const lapseMarginMilliseconds = 2000;

const sessionSchema = z.object({
	incarnation: z.string(),
	/** A new one for each lease, so that a lapse can be seen after the fact. */
	session: z.string(),
});

export type SessionRecord = Readonly<z.infer<typeof sessionSchema>>;

export type SessionView = {
	/** Identifies the present lease; undefined while there is none. */
	sessionId(): string | undefined;
	/** True if no lease of this process can be alive in the store. */
	isLeaseCertainlyExpired(): boolean;
};

export type Session = {
	/** Starts or renews the lease when it is due. Call it at least twice a second. */
	tick(): void;
	/** The last failure of the store, cleared by the next success. */
	lastError(): StoreError | undefined;
	/** Revokes the lease; the session does not start again. */
	stop(): Promise<void>;
} & SessionView;

/** The content of a session key; undefined if it cannot be read. */
export const parseSession = (value: string): SessionRecord | undefined => {
	try {
		return sessionSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
};

type SessionState = {
	leaseId: string | undefined;
	established: boolean;
	/** Start of the last call that can have prolonged a lease. */
	aliveFrom: number | undefined;
	dueAt: number;
	call: {startedAt: number} | undefined;
	/** A renewal failed: another one must wait until the store answers a read. */
	mustProbe: boolean;
	error: StoreError | undefined;
	stopped: boolean;
};

export const createSession = (options: {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly identity: ProcessIdentity;
}): Session => {
	const {store, clock, identity} = options;
	const now = () => clock.monotonicMilliseconds();
	const state: SessionState = {
		leaseId: undefined, established: false, aliveFrom: undefined, dueAt: Number.NEGATIVE_INFINITY, call: undefined, mustProbe: false, error: undefined, stopped: false,
	};

	const fail = (error: StoreError) => {
		state.error = error;
		state.dueAt = now() + retryIntervalMilliseconds;
	};

	const succeed = (startedAt: number) => {
		state.error = undefined;
		state.dueAt = startedAt + renewalIntervalMilliseconds;
	};

	const forgetLease = () => {
		state.leaseId = undefined;
		state.established = false;
		state.dueAt = now();
	};

	const publish = async (leaseId: string, startedAt: number, isCurrent: () => boolean) => {
		const value: SessionRecord = {incarnation: identity.incarnation, session: leaseId};
		const result = await store.transact({
			conditions: [],
			operations: [{
				type: 'put', key: sessionKey(identity.instance), value: JSON.stringify(value), leaseId,
			}],
		});
		if (!isCurrent()) {
			return;
		}

		result.match(() => {
			state.established = true;
			succeed(startedAt);
		}, fail);
	};

	/** A lease can be alive although the answer to its grant was lost, hence `aliveFrom` before the answer. */
	const establish = async (startedAt: number, isCurrent: () => boolean) => {
		const granted = await store.grantLease({timeToLiveSeconds: leaseSeconds});
		if (!isCurrent()) {
			return;
		}

		if (granted.isErr()) {
			fail(granted.error);
			return;
		}

		state.leaseId = granted.value.leaseId;
		state.aliveFrom = startedAt;
		await publish(granted.value.leaseId, startedAt, isCurrent);
	};

	/**
	 * A renewal without an answer may have prolonged the lease, so the lapse counts
	 * from the last one sent. Renewing on during an outage would put it off for ever.
	 */
	const renew = async (leaseId: string, startedAt: number, isCurrent: () => boolean) => {
		const previous = state.aliveFrom;
		state.aliveFrom = startedAt;
		state.mustProbe = true;
		const renewed = await store.renewLease({leaseId});
		if (!isCurrent()) {
			return;
		}

		if (renewed.isErr()) {
			if (renewed.error.kind === StoreErrorKind.NotApplied) {
				state.aliveFrom = previous;
			}

			fail(renewed.error);
			return;
		}

		state.mustProbe = false;

		if (renewed.value.timeToLiveSeconds <= 0) {
			forgetLease();
		} else if (state.established) {
			succeed(startedAt);
		} else {
			await publish(leaseId, startedAt, isCurrent);
		}
	};

	const probe = async (isCurrent: () => boolean) => {
		const result = await store.read({key: sessionKey(identity.instance)});
		if (!isCurrent()) {
			return;
		}

		result.match(() => {
			state.mustProbe = false;
			state.dueAt = now();
		}, fail);
	};

	const start = async (startedAt: number, isCurrent: () => boolean) => {
		const {leaseId} = state;
		if (leaseId === undefined) {
			await establish(startedAt, isCurrent);
		} else if (state.mustProbe) {
			await probe(isCurrent);
		} else {
			await renew(leaseId, startedAt, isCurrent);
		}
	};

	const run = async () => {
		const call = {startedAt: now()};
		state.call = call;
		const isCurrent = () => state.call === call && !state.stopped;
		await start(call.startedAt, isCurrent);
		if (state.call === call) {
			state.call = undefined;
		}
	};

	const isCertainlyLapsed = () => state.aliveFrom === undefined
		|| now() > state.aliveFrom + (leaseSeconds * 1000) + lapseMarginMilliseconds;

	return {
		tick() {
			if (state.call && now() - state.call.startedAt > callTimeoutMilliseconds) {
				state.call = undefined;
				state.dueAt = now();
			}

			if (!state.stopped && !state.call && now() >= state.dueAt) {
				void run();
			}
		},
		sessionId: () => state.established && !isCertainlyLapsed() ? state.leaseId : undefined,
		isLeaseCertainlyExpired: isCertainlyLapsed,
		lastError: () => state.error,
		async stop() {
			state.stopped = true;
			const {leaseId} = state;
			if (leaseId !== undefined) {
				await store.revokeLease({leaseId});
			}
		},
	};
};
