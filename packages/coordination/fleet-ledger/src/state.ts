/**
 * State of the fleet ledger: one value per region, replaced as a whole by
 * compare-and-swap. Times are wall-clock milliseconds; they are only used for
 * timeouts and maintenance periods, so clock skew does not affect safety.
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
	/** Missing from the list, leaving or unhealthy, but not because of a step. */
	Observed = 'observed',
	/** Did not return to service after a reboot for maintenance. */
	Maintenance = 'maintenance',
}

const identitySchema = z.object({instance: z.string(), incarnation: z.string()});

const placementShape = {
	instance: z.string(), pool: z.string(), zone: z.string(), rack: z.string(),
};

const changeShape = {
	/** Fleet revision of the write that started this phase. */
	revision: z.int(),
	changedAt: z.number(),
	/** Entry instances known when draining began; each must confirm the drain or be gone. */
	awaited: z.array(identitySchema),
	/** The only process that may call the platform for this record. */
	executor: identitySchema.optional(),
};

const stepSchema = z.object({
	...placementShape,
	...changeShape,
	phase: z.enum(StepPhase),
	/** Incarnation before the reboot; a different one proves that the instance has rebooted. */
	incarnation: z.string(),
});

const moveSchema = z.object({
	...placementShape,
	...changeShape,
	phase: z.enum(MovePhase),
	destination: z.string(),
});

const failureSchema = z.object({...placementShape, cause: z.enum(FailureCause), since: z.number()});

const memberSchema = z.object({
	pool: z.string(),
	zone: z.string(),
	rack: z.string(),
	/** 0 if the instance has never been maintained. */
	maintainedAt: z.number(),
	/** No step or move begins before this time; set after a cancelled drain or a failed step. */
	notBefore: z.number(),
});

const stateSchema = z.object({
	/** Number of writes of this value: the fleet revision that peers exchange. */
	revision: z.int().min(0),
	steps: z.array(stepSchema),
	moves: z.array(moveSchema),
	failures: z.array(failureSchema),
	/** Pools of moved instances; they override those of the platform's list. */
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
