/**
 * Stored value of one shard of the ledger: for each team its limit and the units
 * of each holder. Each change rewrites the whole value; to keep it small, holders
 * are listed once per shard and referenced by their index.
 */
import {z} from 'zod';
import {hashText} from '@turmericbay/membership';
import type {AvailabilityZone, ProcessIdentity, TeamName} from '@turmericbay/types';

export const shardCount = 16;
export const grantsPrefix = '/turmericbay/grants/';

export const shardOf = (team: TeamName): number => hashText(team) % shardCount;
export const shardKey = (shard: number): string => `${grantsPrefix}${String(shard).padStart(2, '0')}`;

export type Holding = {
	readonly identity: ProcessIdentity;
	readonly zone: AvailabilityZone;
	readonly units: number;
};

export type TeamRow = {
	readonly limit: number;
	/** Version of the document that the limit comes from. */
	readonly version: number;
	/** By holder key; without holders of zero units. */
	readonly holdings: ReadonlyMap<string, Holding>;
};

export type ShardTable = ReadonlyMap<TeamName, TeamRow>;

export const holderKey = ({instance, incarnation}: ProcessIdentity): string => `${instance}|${incarnation}`;

const index = z.int().min(0);

const shardSchema = z.object({
	holders: z.array(z.tuple([z.string(), z.string(), z.string()])),
	teams: z.record(z.string(), z.tuple([index, index, z.array(z.tuple([index, index]))])),
});

export const emptyRow: TeamRow = {limit: 0, version: 0, holdings: new Map()};

export const sumUnits = (row: TeamRow): number => {
	let sum = 0;
	for (const {units} of row.holdings.values()) {
		sum += units;
	}

	return sum;
};

const holdersByTable = new WeakMap<ShardTable, ReadonlyMap<string, ProcessIdentity>>();

/** All holders in a table. Cached, since tables are immutable. */
export const holdersOf = (table: ShardTable): ReadonlyMap<string, ProcessIdentity> => {
	const known = holdersByTable.get(table);
	if (known) {
		return known;
	}

	const holders = new Map<string, ProcessIdentity>();
	for (const row of table.values()) {
		for (const [key, {identity}] of row.holdings) {
			holders.set(key, identity);
		}
	}

	holdersByTable.set(table, holders);
	return holders;
};

/** The row with another number of units for one holder. */
export const withUnits = (row: TeamRow, holding: Holding): TeamRow => {
	const holdings = new Map(row.holdings);
	const key = holderKey(holding.identity);
	if (holding.units > 0) {
		holdings.set(key, holding);
	} else {
		holdings.delete(key);
	}

	return {...row, holdings};
};

export const encodeShard = (table: ShardTable): string => {
	const indexes = new Map<string, number>();
	const holders: Array<[string, string, string]> = [];
	const teams: Record<string, [number, number, Array<[number, number]>]> = {};
	for (const [team, row] of table) {
		if (row.holdings.size === 0) {
			continue;
		}

		const pairs: Array<[number, number]> = [];
		for (const [key, {identity, zone, units}] of row.holdings) {
			let position = indexes.get(key);
			if (position === undefined) {
				position = holders.push([identity.instance, identity.incarnation, zone]) - 1;
				indexes.set(key, position);
			}

			pairs.push([position, units]);
		}

		teams[team] = [row.limit, row.version, pairs];
	}

	return JSON.stringify({holders, teams});
};

/** Undefined if the value is malformed; such a shard must not be overwritten. */
export const decodeShard = (value: string): ShardTable | undefined => {
	let parsed: z.infer<typeof shardSchema>;
	try {
		parsed = shardSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}

	const table = new Map<TeamName, TeamRow>();
	for (const [team, [limit, version, pairs]] of Object.entries(parsed.teams)) {
		const holdings = new Map<string, Holding>();
		for (const [position, units] of pairs) {
			const holder = parsed.holders[position];
			if (!holder) {
				return undefined;
			}

			const [instance, incarnation, zone] = holder;
			const identity = {instance, incarnation};
			holdings.set(holderKey(identity), {identity, zone, units});
		}

		table.set(team, {limit, version, holdings});
	}

	return table;
};
