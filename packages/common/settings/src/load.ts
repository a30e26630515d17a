/** Reads the INI file and reports every error in it. */
import {parse} from 'ini';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import {
	listSectionSettings, memberPrefix, readMeta, sectionNames, sectionSchemas,
} from './schema.js';
import type {SectionName, Sections, Settings} from './schema.js';
import {formatNetworkAddress, member, namePattern} from './values.js';
import type {NetworkAddress, PeerMember, SettingMeta} from './values.js';

export type SettingsError = {
	readonly fileName: string;
	/** Empty for a line before the first section. */
	readonly section: string;
	/** Empty if the error concerns the whole section. */
	readonly key: string;
	readonly expected: string;
	/** The value in the file; undefined if it is missing or secret. */
	readonly found?: string;
};

type RawSection = Readonly<Record<string, unknown>>;
type ErrorList = Array<Omit<SettingsError, 'fileName'>>;
type SectionInput<Section extends SectionName> = {readonly section: Section; readonly raw: RawSection; readonly errors: ErrorList};
const schemas: {readonly [Section in SectionName]: z.ZodType<Sections[Section]>} = sectionSchemas;

type ReadSections = {readonly [Section in SectionName]: Sections[Section] | undefined};

const isSection = (value: unknown): value is RawSection => typeof value === 'object' && value !== null && !Array.isArray(value);

/**
 * Without bracketed arrays the INI library turns a repeated key into an array,
 * but it counts over the whole file: a key that occurs once in each of two
 * sections becomes an array of one value.
 */
const unwrapSingleValues = (raw: RawSection): RawSection => Object.fromEntries(Object.entries(raw).map(([key, value]) => {
	if (isSection(value)) {
		return [key, unwrapSingleValues(value)];
	}

	return [key, Array.isArray(value) && value.length === 1 ? value[0] as unknown : value];
}));

/** The INI library turns true, false and null into values of these types. */
const toText = (value: unknown): string => typeof value === 'string' ? value : String(value);

const describeFound = (value: unknown, meta: SettingMeta): {found?: string} => value === undefined || meta.secret ? {} : {found: toText(value)};

const readSection = <Section extends SectionName>({section, raw, errors}: SectionInput<Section>): Sections[Section] | undefined => {
	const rows = listSectionSettings(section);
	const schema: z.ZodType<Sections[Section]> = schemas[section];
	const input = Object.fromEntries(rows
		.filter(({key}) => raw[key] !== undefined)
		.map(({property, key}) => [property, Array.isArray(raw[key]) ? raw[key] : toText(raw[key])]));
	const result = schema.safeParse(input);
	const invalidProperties = new Set(result.error?.issues.map(issue => issue.path[0]));
	for (const {property, key, meta} of rows.filter(row => invalidProperties.has(row.property))) {
		const {expected} = meta;
		errors.push(Array.isArray(raw[key])
			? {section, key, expected: 'one line with this key'}
			: {
				section, key, expected, ...describeFound(input[property], meta),
			});
	}

	const known = new Set(rows.map(({key}) => key));
	for (const key of Object.keys(raw)) {
		if (!known.has(key) && !(section === 'peers' && key.startsWith(memberPrefix))) {
			errors.push({section, key, expected: `one of the keys ${[...known].join(', ')}`});
		}
	}

	return result.data;
};

const readMembers = ({section, raw, errors, ownId}: SectionInput<'peers'> & {readonly ownId: unknown}): readonly PeerMember[] => Object.entries(raw)
	.filter(([key]) => key.startsWith(memberPrefix))
	.flatMap(([key, value]) => {
		const instance = key.slice(memberPrefix.length);
		const result = member.safeParse(value);
		if (!namePattern.test(instance) || instance === ownId) {
			errors.push({section, key, expected: `${memberPrefix} followed by the name of another entry instance`});
		} else if (result.success) {
			return [{instance, ...result.data}];
		} else {
			errors.push(Array.isArray(value)
				? {section, key, expected: 'one line with this key'}
				: {
					section, key, expected: readMeta(member).expected, found: toText(value),
				});
		}

		return [];
	});

const checkListeners = (listeners: ReadonlyArray<readonly [section: SectionName, address: NetworkAddress | undefined]>, errors: ErrorList): void => {
	const seen = new Map<string, string>();
	for (const [section, address] of listeners) {
		if (address === undefined || address.port === 0) {
			continue;
		}

		const text = formatNetworkAddress(address);
		const other = seen.get(text);
		if (other !== undefined) {
			errors.push({
				section, key: 'listen', expected: `an address other than that of [${other}]`, found: text,
			});
		}

		seen.set(text, section);
	}
};

const checkSections = (raw: RawSection, errors: ErrorList): void => {
	for (const [section, value] of Object.entries(raw)) {
		if (!isSection(value)) {
			errors.push({section: '', key: section, expected: 'every key to be in a section'});
		} else if (!Object.hasOwn(sectionSchemas, section)) {
			errors.push({section, key: '', expected: `one of the sections ${sectionNames.join(', ')}`});
		}
	}
};

const isComplete = (sections: ReadSections): sections is Sections => Object.values(sections).every(section => section !== undefined);

/** Parses and validates the text of a settings file; the file name is only used in the errors. */
export const loadSettings = ({text, fileName}: {readonly text: string; readonly fileName: string}): Result<Settings, readonly SettingsError[]> => {
	// A byte order mark would become part of the first section's name.
	const raw = unwrapSingleValues(parse(text.replace(/^\u{FEFF}/v, ''), {bracketedArray: false}));
	const errors: ErrorList = [];
	checkSections(raw, errors);
	const sectionInput = <Section extends SectionName>(section: Section) => ({section, raw: isSection(raw[section]) ? raw[section] : {}, errors});
	const sections: ReadSections = {
		instance: readSection(sectionInput('instance')),
		callers: readSection(sectionInput('callers')),
		operations: readSection(sectionInput('operations')),
		peers: readSection(sectionInput('peers')),
		platform: readSection(sectionInput('platform')),
		requests: readSection(sectionInput('requests')),
		shutdown: readSection(sectionInput('shutdown')),
		telemetry: readSection(sectionInput('telemetry')),
	};
	const ownId = sectionInput('instance').raw.id;
	const members = readMembers({...sectionInput('peers'), ownId});
	checkListeners([['callers', sections.callers?.listen], ['operations', sections.operations?.listen], ['peers', sections.peers?.listen]], errors);
	return errors.length === 0 && isComplete(sections)
		? ok({...sections, peers: {...sections.peers, members}})
		: err(errors.map(error => ({fileName, ...error})));
};

/** One line per error. */
export const formatSettingsErrors = (errors: readonly SettingsError[]): string => errors
	.map(({fileName, section, key, expected, found}) => {
		const place = [fileName, section === '' ? '' : `[${section}]`, key].filter(part => part !== '').join(' ');
		return `${place}: expected ${expected}${found === undefined ? '' : `, found ${JSON.stringify(found)}`}`;
	})
	.join('\n');
