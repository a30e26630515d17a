/**
 * Availability budgets per pool, rack and zone: the number of instances that may
 * be out of service at once. Failures and planned work share the same budgets.
 */
import type {ConfigurationDocument, PoolDeclaration} from '@turmericbay/document';
import {
	isMoveActive, isStepActive,
} from './state.js';
import type {InstancePlacement, FleetState} from './state.js';

/** The part of the configuration document that the ledger uses. */
export type BudgetRules = {
	readonly pools: Readonly<Record<string, Pick<PoolDeclaration, 'maximumUnavailable' | 'minimumInstances'>>>;
	readonly maintenance: ConfigurationDocument['maintenance'];
};

export type BudgetUsage = {
	/** True if one more instance of this pool, rack and zone may go out of service. */
	hasRoom(placement: InstancePlacement): boolean;
	isExceeded(placement: InstancePlacement): boolean;
	consume(placement: InstancePlacement): void;
};

type BudgetLimit = {readonly key: string; readonly limit: number};

const listBudgetLimits = (rules: BudgetRules, placement: InstancePlacement): BudgetLimit[] => [
	// A pool that the document no longer declares has no budget.
	{key: `pool ${placement.pool}`, limit: rules.pools[placement.pool]?.maximumUnavailable ?? 0},
	{key: `rack ${placement.zone}/${placement.rack}`, limit: rules.maintenance.maximumUnavailablePerRack},
	{key: `zone ${placement.zone}`, limit: rules.maintenance.maximumUnavailablePerZone},
];

/** Every instance that is out of service, once even if several records name it. */
export const listUnavailable = (state: FleetState): InstancePlacement[] => {
	const byInstance = new Map<string, InstancePlacement>();
	const records: InstancePlacement[] = [
		...state.steps.filter(step => isStepActive(step)),
		...state.moves.filter(move => isMoveActive(move)),
		...state.failures,
	];
	for (const record of records) {
		byInstance.set(record.instance, record);
	}

	return [...byInstance.values()];
};

export const measureBudgets = (state: FleetState, rules: BudgetRules): BudgetUsage => {
	const used = new Map<string, number>();
	const countUsed = (line: BudgetLimit) => used.get(line.key) ?? 0;
	const consume = (placement: InstancePlacement) => {
		for (const line of listBudgetLimits(rules, placement)) {
			used.set(line.key, countUsed(line) + 1);
		}
	};

	for (const placement of listUnavailable(state)) {
		consume(placement);
	}

	return {
		consume,
		hasRoom: placement => listBudgetLimits(rules, placement).every(line => countUsed(line) < line.limit),
		isExceeded: placement => listBudgetLimits(rules, placement).some(line => countUsed(line) > line.limit),
	};
};
