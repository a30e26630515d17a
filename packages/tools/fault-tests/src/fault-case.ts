/** What a fault case is: steps against separate processes, and a bound from the design page. */
import type {Fleet, FleetPlan} from '@turmericbay/demo';

export type Check = {
	readonly name: string;
	readonly isHeld: boolean;
	/** Figures that were measured. */
	readonly measured: string;
};

export type CaseContext = {
	readonly fleet: Fleet;
	readonly seed: number;
	/** Records one check; a check that does not hold breaks the guarantee. */
	check(name: string, isHeld: boolean, measured: string): void;
};

export type FaultCase = {
	readonly name: string;
	/** Number of the guarantee in section 2 of the design page. */
	readonly guarantee: number;
	readonly seed: number;
	readonly steps: string;
	/** The bound as the design page states it. */
	readonly bound: string;
	readonly plan: FleetPlan;
	run(context: CaseContext): Promise<void>;
};

export type CaseResult = {
	readonly faultCase: FaultCase;
	readonly checks: readonly Check[];
	/** Set if the case could not be played to its end. */
	readonly failure?: string;
	readonly seconds: number;
};

/** A case without a check proves nothing and does not pass. */
export const isPassed = ({checks, failure}: CaseResult): boolean =>
	failure === undefined && checks.length > 0 && checks.every(({isHeld}) => isHeld);
