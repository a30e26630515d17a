/** Differences between two documents, per section. */
import {isDeepStrictEqual} from 'node:util';
import type {ConfigurationDocument, KeyDeclaration} from './schema.js';

export enum ChangeKind {
	Added = 'added',
	Removed = 'removed',
	Changed = 'changed',
}

export enum DocumentSection {
	Pool = 'pool',
	Team = 'team',
	Queue = 'queue',
	Maintenance = 'maintenance',
	Policy = 'policy',
}

export type FieldChange = {
	readonly field: string;
	readonly from: string;
	readonly to: string;
};

export type DocumentChange = {
	readonly section: DocumentSection;
	/** Name of the pool, team or queue; empty for maintenance and policy, which have none. */
	readonly name: string;
	readonly kind: ChangeKind;
	/** Empty unless the kind is changed. */
	readonly fields: readonly FieldChange[];
};

type Fields = Readonly<Record<string, unknown>>;
type Declarations = Readonly<Record<string, Fields>>;

const isKeyDeclaration = (value: unknown): value is KeyDeclaration => typeof value === 'object' && value !== null && 'hash' in value && 'id' in value;

const formatScalar = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

/** Shows keys by their ids, because salts and hashes are of no use in a review. */
const formatValue = (value: unknown): string => {
	if (Array.isArray(value)) {
		return value.length === 0 ? 'none' : value.map(item => isKeyDeclaration(item) ? item.id : formatScalar(item)).join(', ');
	}

	return formatScalar(value);
};

const isSameKey = (left: unknown, right: unknown): boolean => isKeyDeclaration(left) && isKeyDeclaration(right) && left.id === right.id;

const describeField = (field: string, from: unknown, to: unknown): FieldChange => {
	const keysWithNewSecret = Array.isArray(from) && Array.isArray(to)
		? from.filter((key, index) => isSameKey(key, to[index]) && !isDeepStrictEqual(key, to[index]))
		: [];
	const note = keysWithNewSecret.length > 0 ? ` (new secret for ${formatValue(keysWithNewSecret)})` : '';
	return {field, from: formatValue(from), to: `${formatValue(to)}${note}`};
};

const compareFields = (from: Fields, to: Fields): readonly FieldChange[] => {
	const before = new Map<string, unknown>(Object.entries(from));
	const after = new Map<string, unknown>(Object.entries(to));
	return [...new Set([...before.keys(), ...after.keys()])]
		.filter(field => !isDeepStrictEqual(before.get(field), after.get(field)))
		.map(field => describeField(field, before.get(field), after.get(field)));
};

const compareDeclarations = (section: DocumentSection, from: Declarations, to: Declarations): readonly DocumentChange[] => [...new Set([...Object.keys(from), ...Object.keys(to)])]
	.toSorted()
	.flatMap((name): readonly DocumentChange[] => {
		const before = Object.hasOwn(from, name) ? from[name] : undefined;
		const after = Object.hasOwn(to, name) ? to[name] : undefined;
		if (before === undefined || after === undefined) {
			return [{
				section, name, kind: before === undefined ? ChangeKind.Added : ChangeKind.Removed, fields: [],
			}];
		}

		const fields = compareFields(before, after);
		return fields.length === 0
			? []
			: [{
				section, name, kind: ChangeKind.Changed, fields,
			}];
	});

const compareSection = (section: DocumentSection, from: Fields, to: Fields): readonly DocumentChange[] => {
	const fields = compareFields(from, to);
	return fields.length === 0
		? []
		: [{
			section, name: '', kind: ChangeKind.Changed, fields,
		}];
};

/** Lists all differences, in the order pools, teams, queues, maintenance, policy. */
export const diffDocuments = ({from, to}: {readonly from: ConfigurationDocument; readonly to: ConfigurationDocument}): readonly DocumentChange[] => [
	...compareDeclarations(DocumentSection.Pool, from.pools, to.pools),
	...compareDeclarations(DocumentSection.Team, from.teams, to.teams),
	...compareDeclarations(DocumentSection.Queue, from.queues, to.queues),
	...compareSection(DocumentSection.Maintenance, from.maintenance, to.maintenance),
	...compareSection(DocumentSection.Policy, from.policy.weights, to.policy.weights),
];

/** One line per change. */
export const formatDocumentChange = ({section, name, kind, fields}: DocumentChange): string => {
	const subject = name === '' ? section : `${section} ${name}`;
	const details = fields.map(({field, from, to}) => `${field} from ${from} to ${to}`).join('; ');
	return kind === ChangeKind.Changed ? `${subject}: ${details}` : `${subject}: ${kind}`;
};
