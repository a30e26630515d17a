/** What would change between two documents, part by part. */
import {isDeepStrictEqual} from 'node:util';
import type {ConfigurationDocument, KeyDeclaration} from './schema.js';

export enum ChangeKind {
	Added = 'added',
	Removed = 'removed',
	Changed = 'changed',
}

export enum DocumentPart {
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
	readonly part: DocumentPart;
	/** Empty for the parts that exist once. */
	readonly name: string;
	readonly kind: ChangeKind;
	/** Empty unless the kind is changed. */
	readonly fields: readonly FieldChange[];
};

type Fields = Readonly<Record<string, unknown>>;
type Declarations = Readonly<Record<string, Fields>>;

const isKey = (value: unknown): value is KeyDeclaration => typeof value === 'object' && value !== null && 'hash' in value && 'id' in value;

const formatScalar = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

/** Keys appear by their ids; salts and hashes help nobody who reads a review. */
const formatValue = (value: unknown): string => {
	if (Array.isArray(value)) {
		return value.length === 0 ? 'none' : value.map(item => isKey(item) ? item.id : formatScalar(item)).join(', ');
	}

	return formatScalar(value);
};

const isSameKey = (left: unknown, right: unknown): boolean => isKey(left) && isKey(right) && left.id === right.id;

const describeField = (field: string, from: unknown, to: unknown): FieldChange => {
	const replaced = Array.isArray(from) && Array.isArray(to)
		? from.filter((key, index) => isSameKey(key, to[index]) && !isDeepStrictEqual(key, to[index]))
		: [];
	const note = replaced.length > 0 ? ` (new secret for ${formatValue(replaced)})` : '';
	return {field, from: formatValue(from), to: `${formatValue(to)}${note}`};
};

const compareFields = (from: Fields, to: Fields): readonly FieldChange[] => {
	const before = new Map<string, unknown>(Object.entries(from));
	const after = new Map<string, unknown>(Object.entries(to));
	return [...new Set([...before.keys(), ...after.keys()])]
		.filter(field => !isDeepStrictEqual(before.get(field), after.get(field)))
		.map(field => describeField(field, before.get(field), after.get(field)));
};

const compareDeclarations = (part: DocumentPart, from: Declarations, to: Declarations): readonly DocumentChange[] => [...new Set([...Object.keys(from), ...Object.keys(to)])]
	.toSorted()
	.flatMap((name): readonly DocumentChange[] => {
		const before = Object.hasOwn(from, name) ? from[name] : undefined;
		const after = Object.hasOwn(to, name) ? to[name] : undefined;
		if (before === undefined || after === undefined) {
			return [{
				part, name, kind: before === undefined ? ChangeKind.Added : ChangeKind.Removed, fields: [],
			}];
		}

		const fields = compareFields(before, after);
		return fields.length === 0
			? []
			: [{
				part, name, kind: ChangeKind.Changed, fields,
			}];
	});

const compareSingle = (part: DocumentPart, from: Fields, to: Fields): readonly DocumentChange[] => {
	const fields = compareFields(from, to);
	return fields.length === 0
		? []
		: [{
			part, name: '', kind: ChangeKind.Changed, fields,
		}];
};

/** Everything that differs, in the order pools, teams, queues, maintenance, policy. */
export const diffDocuments = ({from, to}: {readonly from: ConfigurationDocument; readonly to: ConfigurationDocument}): readonly DocumentChange[] => [
	...compareDeclarations(DocumentPart.Pool, from.pools, to.pools),
	...compareDeclarations(DocumentPart.Team, from.teams, to.teams),
	...compareDeclarations(DocumentPart.Queue, from.queues, to.queues),
	...compareSingle(DocumentPart.Maintenance, from.maintenance, to.maintenance),
	...compareSingle(DocumentPart.Policy, from.policy.weights, to.policy.weights),
];

/** One line per change. */
export const formatDocumentChange = ({part, name, kind, fields}: DocumentChange): string => {
	const subject = name === '' ? part : `${part} ${name}`;
	const details = fields.map(({field, from, to}) => `${field} from ${from} to ${to}`).join('; ');
	return kind === ChangeKind.Changed ? `${subject}: ${details}` : `${subject}: ${kind}`;
};
