/** All sections and settings of the daemon's INI file. */
import {z} from 'zod';
import {
	baseUrl, choice, integer, listenAddress, member, name, optionalBaseUrl, secret,
} from './values.js';
import type {PeerMember, SettingMeta} from './values.js';

export const memberPrefix = 'member.';

export const sectionSchemas = {
	instance: z.object({
		id: name('Name of this entry instance in the platform\'s instance list.'),
		zone: name('Availability zone of this entry instance.'),
		region: name('Region of this entry instance; instances of one region share their maintenance state.'),
	}),
	callers: z.object({
		listen: listenAddress('Listener for callers (HTTP/1.1). Port 0 lets the system choose one.'),
	}),
	operations: z.object({
		listen: listenAddress('Listener for health, readiness, metrics and the command line.'),
		token: secret('Bearer token of the operators.'),
	}),
	peers: z.object({
		listen: listenAddress('Listener for the other entry instances (HTTP/2).'),
		secret: secret('Shared secret of all entry instances.'),
	}),
	platform: z.object({
		keyValue: baseUrl('The platform\'s key-value service.'),
		instances: baseUrl('The platform\'s instance list.'),
		connectTimeoutMilliseconds: integer({
			minimum: 10, maximum: 60_000, defaultValue: 1000, description: 'Longest time to open a connection to the platform.',
		}),
		requestTimeoutMilliseconds: integer({
			minimum: 10, maximum: 60_000, defaultValue: 2000, description: 'Longest time to wait for a response of the platform.',
		}),
	}),
	requests: z.object({
		headerLimitBytes: integer({
			minimum: 1024, maximum: 1_048_576, defaultValue: 16_384, description: 'Largest request headers; larger ones get status 431.',
		}),
		bodyLimitBytes: integer({
			minimum: 0, maximum: 1_073_741_824, defaultValue: 1_048_576, description: 'Largest request body; a larger one gets status 413.',
		}),
		slowSenderTimeoutMilliseconds: integer({
			minimum: 100, maximum: 600_000, defaultValue: 10_000, description: 'Longest time for a whole request to arrive; a later one gets status 408.',
		}),
	}),
	shutdown: z.object({
		balancerLagSeconds: integer({
			minimum: 0, maximum: 600, defaultValue: 5, description: 'Time to keep serving after readiness reports 503, so that the load balancer can stop sending requests.',
		}),
		boundSeconds: integer({
			minimum: 0, maximum: 3600, defaultValue: 60, description: 'Longest time to wait for requests in flight to finish.',
		}),
	}),
	telemetry: z.object({
		logLevel: choice({choices: ['trace', 'debug', 'info', 'warn', 'error', 'fatal'], defaultValue: 'info', description: 'Lowest level that is logged.'}),
		traceExporter: optionalBaseUrl('URL to which spans are exported (OTLP over HTTP); none are exported if it is missing.'),
	}),
} as const;

export type SectionName = keyof typeof sectionSchemas;

export type Sections = {readonly [Section in SectionName]: z.output<typeof sectionSchemas[Section]>};

export type Settings = Omit<Sections, 'peers'> & {
	readonly peers: Sections['peers'] & {readonly members: readonly PeerMember[]};
};

export type SettingRow = {
	readonly section: SectionName;
	readonly key: string;
	readonly meta: SettingMeta;
};

/** `requestTimeoutMilliseconds` in the program is `request-timeout-milliseconds` in the file. */
export const toFileKey = (property: string): string => property.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);

/** Metadata of a setting's schema; every setting has a description. */
export const readMeta = (schema: z.ZodType): SettingMeta => {
	const meta: Partial<SettingMeta> = schema.meta() ?? {};
	const {expected = '', description = ''} = meta;
	return {...meta, expected, description};
};

/** The settings of one section in the order of the documentation, with their property names. */
export const listSectionSettings = (section: SectionName): ReadonlyArray<SettingRow & {readonly property: string}> => Object.entries<z.ZodType>(sectionSchemas[section].shape)
	.map(([property, schema]) => ({
		section, property, key: toFileKey(property), meta: readMeta(schema),
	}));

export const sectionNames: readonly SectionName[] = ['instance', 'callers', 'operations', 'peers', 'platform', 'requests', 'shutdown', 'telemetry'];

const memberRow: SettingRow = {section: 'peers', key: `${memberPrefix}<id>`, meta: {...readMeta(member), optional: true}};

/** All settings in the order of the documentation. */
export const settingsTable: readonly SettingRow[] = sectionNames.flatMap(section => [
	...listSectionSettings(section).map(({key, meta}) => ({section, key, meta})),
	...(section === 'peers' ? [memberRow] : []),
]);
