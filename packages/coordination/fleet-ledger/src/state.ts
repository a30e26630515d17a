/**
 * Tables of the fleet ledger: one value per region, replaced as a whole by
 * compare-and-swap. Times are wall-clock milliseconds; they only drive
 * timeouts and maintenance periods, so clock skew cannot break a guarantee.
 */
import type {
	AvailabilityZone, InstanceId, PoolName, ProcessIdentity, RackName, RegionName,
} from '@turmericbay/types';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {z} from 'zod';

export enum StepPhase {
	Planned = 'planned',
	Draining = 'draining',
	Rebooting = 'rebooting',
	Verifying = 'verifying',
	Done = 'done',
}

export enum MovePhase {
	Draining = 'draining',
	Released = 'released',
	Joined = 'joined',
}

export enum FailureCause {
	/** Missing from the list, leaving, or unhealthy without a step of ours. */
	Observed = 'observed',
	/** Did not come back after a reboot of the maintenance wave. */
	Maintenance = 'maintenance',
}

const identitySchema = z.object({instance: z.string(), incarnation: z.string()});

const domainShape = {
	instance: z.string(), pool: z.string(), zone: z.string(), rack: z.string(),
};

const changeShape = {
	/** Fleet revision of the write that entered this phase. */
	revision: z.int(),
	changedAt: z.number(),
	/** Entry instances known when draining began; each has to confirm or be gone. */
	awaited: z.array(identitySchema),
	/** The only process that may call the platform for this record. */
	executor: identitySchema.optional(),
};

const stepSchema = z.object({
	...domainShape,
	...changeShape,
	phase: z.enum(StepPhase),
	/** Incarnation before the reboot; another one proves the reboot. */
	incarnation: z.string(),
});

const moveSchema = z.object({
	...domainShape,
	...changeShape,
	phase: z.enum(MovePhase),
	destination: z.string(),
});

const failureSchema = z.object({...domainShape, cause: z.enum(FailureCause), since: z.number()});

const memberSchema = z.object({
	pool: z.string(),
	zone: z.string(),
	rack: z.string(),
	/** 0 if the instance was never maintained. */
	maintainedAt: z.number(),
	/** No step begins before this time, after an attempt that was undone. */
	notBefore: z.number(),
});

const stateSchema = z.object({
	/** Counts the writes of this value; this is the fleet revision peers exchange. */
	revision: z.int().min(0),
	steps: z.array(stepSchema),
	moves: z.array(moveSchema),
	failures: z.array(failureSchema),
	/** Pools of moved instances; they override the platform's list. */
	assignedPools: z.record(z.string(), z.string()),
	members: z.record(z.string(), memberSchema),
});

export type StepRecord = z.infer<typeof stepSchema>;
export type MoveRecord = z.infer<typeof moveSchema>;
export type FailureRecord = z.infer<typeof failureSchema>;
export type MemberRecord = z.infer<typeof memberSchema>;
export type FleetState = z.infer<typeof stateSchema>;

export type InstancePlacement = {
	readonly instance: InstanceId;
	readonly pool: PoolName;
	readonly zone: AvailabilityZone;
	readonly rack: RackName;
};

export type FleetStateError = {readonly code: 'FLEET_STATE_MALFORMED'; readonly message: string};

export const createFleetKey = (region: RegionName) => `/turmericbay/fleet/${region}`;

export const createEmptyState = (): FleetState => ({
	revision: 0, steps: [], moves: [], failures: [], assignedPools: {}, members: {},
});

export const encodeState = (state: FleetState): string => JSON.stringify(state);

export const decodeState = (text: string): Result<FleetState, FleetStateError> => {
	try {
		const parsed = stateSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : err({code: 'FLEET_STATE_MALFORMED', message: parsed.error.message});
	} catch (error) {
		return err({code: 'FLEET_STATE_MALFORMED', message: String(error)});
	}
};

export const formatIdentity = (identity: ProcessIdentity) => `${identity.instance}/${identity.incarnation}`;

export const isSameProcess = (left: ProcessIdentity | undefined, right: ProcessIdentity): boolean =>
	left?.instance === right.instance && left.incarnation === right.incarnation;

/** True while the step keeps its instance out of service. */
export const isStepActive = (step: StepRecord): boolean =>
	step.phase !== StepPhase.Planned && step.phase !== StepPhase.Done;

export const isMoveActive = (move: MoveRecord): boolean => move.phase !== MovePhase.Joined;
