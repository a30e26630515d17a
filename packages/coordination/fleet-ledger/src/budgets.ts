/**
 * Availability budgets per pool, rack and zone. Failures and planned work
 * draw on the same budget.
 */
import type {ConfigurationDocument, PoolDeclaration} from '@turmericbay/document';
import {
	isMoveActive, isStepActive,
} from './state.js';
import type {InstancePlacement, FleetState} from './state.js';

/** The part of the configuration document that the ledger follows. */
export type BudgetRules = {
	readonly pools: Readonly<Record<string, Pick<PoolDeclaration, 'maximumUnavailable' | 'minimumInstances'>>>;
	readonly maintenance: ConfigurationDocument['maintenance'];
};

export type BudgetUsage = {
	/** True if one more instance of this domain may go out of service. */
	hasRoom(domain: InstancePlacement): boolean;
	isExceeded(domain: InstancePlacement): boolean;
	consume(domain: InstancePlacement): void;
};

type BudgetLimit = {readonly key: string; readonly limit: number};

const listBudgetLines = (rules: BudgetRules, domain: InstancePlacement): BudgetLimit[] => [
	// A pool that the document no longer declares has no budget.
	{key: `pool ${domain.pool}`, limit: rules.pools[domain.pool]?.maximumUnavailable ?? 0},
	{key: `rack ${domain.zone}/${domain.rack}`, limit: rules.maintenance.maximumUnavailablePerRack},
	{key: `zone ${domain.zone}`, limit: rules.maintenance.maximumUnavailablePerZone},
];

/** Every instance that is out of service, once, whatever the reasons. */
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
	const count = (line: BudgetLimit) => used.get(line.key) ?? 0;
	const consume = (domain: InstancePlacement) => {
		for (const line of listBudgetLines(rules, domain)) {
			used.set(line.key, count(line) + 1);
		}
	};

	for (const domain of listUnavailable(state)) {
		consume(domain);
	}

	return {
		consume,
		hasRoom: domain => listBudgetLines(rules, domain).every(line => count(line) < line.limit),
		isExceeded: domain => listBudgetLines(rules, domain).some(line => count(line) > line.limit),
	};
};
