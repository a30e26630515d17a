/** A fault case: steps against separate processes, and the guaranteed bound that is checked. */
import type {Fleet, FleetPlan} from '@turmericbay/demo';

export type Check = {
	readonly name: string;
	readonly isSatisfied: boolean;
	/** Measured values that the check is based on. */
	readonly measured: string;
};

export type CaseContext = {
	readonly fleet: Fleet;
	readonly seed: number;
	/** Records the result of one check; an unsatisfied check violates the guarantee. */
	check(name: string, isSatisfied: boolean, measured: string): void;
};

export type FaultCase = {
	readonly name: string;
	/** Number of the documented guarantee that the case checks. */
	readonly guarantee: number;
	readonly seed: number;
	readonly steps: string;
	/** The guaranteed bound, as it is printed. */
	readonly bound: string;
	readonly plan: FleetPlan;
	run(context: CaseContext): Promise<void>;
};

export type CaseResult = {
	readonly faultCase: FaultCase;
	readonly checks: readonly Check[];
	/** Set if the case did not run to completion. */
	readonly failure?: string;
	readonly seconds: number;
};

/** A case without checks does not pass, since it verified nothing. */
export const isPassed = ({checks, failure}: CaseResult): boolean =>
	failure === undefined && checks.length > 0 && checks.every(({isSatisfied}) => isSatisfied);
