/**
 * Session of this process: one key in the store, attached to a lease. Other
 * processes read it to learn whether this process can still write to the store;
 * this process uses its own clock to learn when its lease must have expired.
 */
import {z} from 'zod';
import {StoreErrorKind} from '@turmericbay/types';
import type {
	Clock, InstanceId, KeyValueStore, ProcessIdentity, StoreError,
} from '@turmericbay/types';

export const sessionsPrefix = '/turmericbay/sessions/';
export const sessionKey = (instance: InstanceId): string => `${sessionsPrefix}${instance}`;

/**
 * A process that has lost the store grants claims from memory once its lease has
 * certainly expired: at most 12 s later, since the last renewal is sent
 * within 3 s, the lease lasts 7 s and the margin is 2 s.
 */
const leaseSeconds = 7;
const renewalIntervalMilliseconds = 3000;
const retryIntervalMilliseconds = 1000;
/** A call without a response is abandoned after this time; a later response is ignored. */
const callTimeoutMilliseconds = 4000;
/**
 * Covers differences in clock rate, the delay until the store removes an expired
 * key, and a renewal that reaches the store after its caller has abandoned it.
 */
const expiryMarginMilliseconds = 2000;

const sessionSchema = z.object({
	incarnation: z.string(),
	/** Different for each lease, so that an expiry can be detected afterwards. */
	session: z.string(),
});

export type SessionRecord = Readonly<z.infer<typeof sessionSchema>>;

export type SessionView = {
	/** Identifies the current lease; undefined while there is none. */
	sessionId(): string | undefined;
	/** True if no lease of this process can still be valid in the store. */
	isLeaseCertainlyExpired(): boolean;
};

export type Session = {
	/** Requests or renews the lease when due. To be called at least twice a second. */
	tick(): void;
	/** Error of the last store call; undefined after a successful one. */
	lastError(): StoreError | undefined;
	/** Revokes the lease; the session cannot be restarted. */
	stop(): Promise<void>;
} & SessionView;

/** Parses the value of a session key; undefined if it is malformed. */
export const parseSession = (value: string): SessionRecord | undefined => {
	try {
		return sessionSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
};

type SessionState = {
	leaseId: string | undefined;
	isKeyWritten: boolean;
	/** Start of the last call that may have extended a lease. */
	lastExtensionStartedAt: number | undefined;
	nextCallAt: number;
	call: {startedAt: number} | undefined;
	/** A renewal is without a response or failed: the next one must wait until a read succeeds. */
	isProbeRequired: boolean;
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
		leaseId: undefined, isKeyWritten: false, lastExtensionStartedAt: undefined, nextCallAt: Number.NEGATIVE_INFINITY, call: undefined, isProbeRequired: false, error: undefined, stopped: false,
	};

	const recordFailure = (error: StoreError) => {
		state.error = error;
		state.nextCallAt = now() + retryIntervalMilliseconds;
	};

	const recordSuccess = (startedAt: number) => {
		state.error = undefined;
		state.nextCallAt = startedAt + renewalIntervalMilliseconds;
	};

	const discardLease = () => {
		state.leaseId = undefined;
		state.isKeyWritten = false;
		state.nextCallAt = now();
	};

	const writeSessionKey = async (leaseId: string, startedAt: number, isCurrent: () => boolean) => {
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
			state.isKeyWritten = true;
			recordSuccess(startedAt);
		}, recordFailure);
	};

	/**
	 * Counts the lease from the start of the call. Assumes that the store grants it
	 * within `expiryMarginMilliseconds` after the call was sent, as for renewals.
	 */
	const startLease = async (startedAt: number, isCurrent: () => boolean) => {
		const granted = await store.grantLease({timeToLiveSeconds: leaseSeconds});
		if (!isCurrent()) {
			return;
		}

		if (granted.isErr()) {
			recordFailure(granted.error);
			return;
		}

		state.leaseId = granted.value.leaseId;
		state.lastExtensionStartedAt = startedAt;
		await writeSessionKey(granted.value.leaseId, startedAt, isCurrent);
	};

	/**
	 * A renewal without a response may have extended the lease, so the expiry counts
	 * from the last one sent. Further renewals during an outage would postpone it
	 * indefinitely.
	 */
	const renew = async (leaseId: string, startedAt: number, isCurrent: () => boolean) => {
		const previous = state.lastExtensionStartedAt;
		state.lastExtensionStartedAt = startedAt;
		state.isProbeRequired = true;
		const renewed = await store.renewLease({leaseId});
		if (!isCurrent()) {
			return;
		}

		if (renewed.isErr()) {
			if (renewed.error.kind === StoreErrorKind.NotApplied) {
				state.lastExtensionStartedAt = previous;
			}

			recordFailure(renewed.error);
			return;
		}

		state.isProbeRequired = false;

		if (renewed.value.timeToLiveSeconds <= 0) {
			discardLease();
		} else if (state.isKeyWritten) {
			recordSuccess(startedAt);
		} else {
			await writeSessionKey(leaseId, startedAt, isCurrent);
		}
	};

	const probeStore = async (isCurrent: () => boolean) => {
		const result = await store.read({key: sessionKey(identity.instance)});
		if (!isCurrent()) {
			return;
		}

		result.match(() => {
			state.isProbeRequired = false;
			state.nextCallAt = now();
		}, recordFailure);
	};

	const makeDueCall = async (startedAt: number, isCurrent: () => boolean) => {
		const {leaseId} = state;
		if (leaseId === undefined) {
			await startLease(startedAt, isCurrent);
		} else if (state.isProbeRequired) {
			await probeStore(isCurrent);
		} else {
			await renew(leaseId, startedAt, isCurrent);
		}
	};

	const runCall = async () => {
		const call = {startedAt: now()};
		state.call = call;
		const isCurrent = () => state.call === call && !state.stopped;
		await makeDueCall(call.startedAt, isCurrent);
		if (state.call === call) {
			state.call = undefined;
		}
	};

	const isLeaseCertainlyExpired = () => state.lastExtensionStartedAt === undefined
		|| now() > state.lastExtensionStartedAt + (leaseSeconds * 1000) + expiryMarginMilliseconds;

	return {
		tick() {
			if (state.call && now() - state.call.startedAt > callTimeoutMilliseconds) {
				state.call = undefined;
				state.nextCallAt = now();
			}

			if (!state.stopped && !state.call && now() >= state.nextCallAt) {
				void runCall();
			}
		},
		sessionId: () => state.isKeyWritten && !isLeaseCertainlyExpired() ? state.leaseId : undefined,
		isLeaseCertainlyExpired,
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
