/** Schemas of single settings: each parses the text in the file into a value. */
import {isIP} from 'node:net';
import {z} from 'zod';

/** IP address and port; an IPv6 address has no brackets here. */
export type NetworkAddress = {
	readonly host: string;
	readonly port: number;
};

export type PeerMember = {
	readonly instance: string;
	readonly zone: string;
	readonly address: NetworkAddress;
};

export type SettingMeta = {
	/** Describes valid values; continues an error message after "expected". */
	readonly expected: string;
	readonly description: string;
	/** Default as it would be written in the file; undefined if the setting is required. */
	readonly defaultText?: string;
	readonly optional?: boolean;
	/** The value must not appear in errors, logs or documentation. */
	readonly secret?: boolean;
};

const maximumPort = 65_535;
const minimumSecretLength = 16;

export const parseNetworkAddress = (text: string): NetworkAddress | undefined => {
	const match = /^(?:\[(?<six>[\da-f:.]+)\]|(?<four>[\d.]+)):(?<port>\d{1,5})$/iv.exec(text);
	const host = match?.groups?.six ?? match?.groups?.four ?? '';
	const port = Number(match?.groups?.port);
	const family = match?.groups?.six === undefined ? 4 : 6;
	return match && isIP(host) === family && port <= maximumPort ? {host, port} : undefined;
};

export const formatNetworkAddress = ({host, port}: NetworkAddress): string => host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

const parseBaseUrl = (text: string): string | undefined => {
	if (!URL.canParse(text)) {
		return undefined;
	}

	const url = new URL(text);
	const isPlain = url.search === '' && url.hash === '' && url.username === '' && url.password === '';
	const isHttp = url.protocol === 'http:' || url.protocol === 'https:';
	const host = url.hostname.replaceAll(/[\[\]]/gv, '');
	return isPlain && isHttp && isIP(host) > 0 ? url.href.replace(/\/+$/v, '') : undefined;
};

const parseMember = (text: string): Omit<PeerMember, 'instance'> | undefined => {
	const match = /^(?<zone>[^,]+),(?<address>.+)$/v.exec(text);
	const zone = match?.groups?.zone?.trim() ?? '';
	const address = parseNetworkAddress(match?.groups?.address?.trim() ?? '');
	return address !== undefined && address.port > 0 && namePattern.test(zone) ? {zone, address} : undefined;
};

export const namePattern = /^[\da-z][\d.a-z\-]{0,62}$/v;

const parsedWith = <Value>(parse: (text: string) => Value | undefined) => z.string().transform((text, context) => {
	const value = parse(text);
	if (value === undefined) {
		context.addIssue('invalid');
		return z.NEVER;
	}

	return value;
});

export const name = (description: string) => z.string().regex(namePattern)
	.meta({expected: 'a name of up to 63 lower-case letters, digits, dots and hyphens that starts with a letter or digit', description} satisfies SettingMeta);

export const listenAddress = (description: string) => parsedWith(parseNetworkAddress)
	.meta({expected: 'an IP address and port such as 127.0.0.1:8080 or [::1]:8080', description} satisfies SettingMeta);

export const baseUrl = (description: string) => parsedWith(parseBaseUrl)
	.meta({expected: 'a base URL with an IP address such as http://127.0.0.1:2379', description} satisfies SettingMeta);

export const optionalBaseUrl = (description: string) => parsedWith(parseBaseUrl).optional()
	.meta({expected: 'a base URL with an IP address such as http://127.0.0.1:4318', description, optional: true} satisfies SettingMeta);

export const secret = (description: string) => z.string().min(minimumSecretLength).regex(/^\S+$/v)
	.meta({expected: `at least ${minimumSecretLength} characters without spaces`, description, secret: true} satisfies SettingMeta);

export const member = parsedWith(parseMember)
	.meta({
		expected: 'an availability zone and the address of the peers listener such as zone-b,127.0.0.1:7002',
		description: 'Availability zone and peers listener of the entry instance `<id>`; one line per other entry instance.',
	} satisfies SettingMeta);

export const integer = (options: {readonly minimum: number; readonly maximum: number; readonly defaultValue: number; readonly description: string}) => {
	const {minimum, maximum, defaultValue, description} = options;
	const parse = (text: string) => {
		const value = /^\d{1,15}$/v.test(text) ? Number(text) : Number.NaN;
		return value >= minimum && value <= maximum ? value : undefined;
	};

	return parsedWith(parse).prefault(String(defaultValue))
		.meta({expected: `a whole number from ${minimum} to ${maximum}`, description, defaultText: String(defaultValue)} satisfies SettingMeta);
};

export const choice = <const Choice extends string>(options: {readonly choices: readonly Choice[]; readonly defaultValue: Choice; readonly description: string}) => {
	const {choices, defaultValue, description} = options;
	return parsedWith(text => choices.find(candidate => candidate === text)).prefault(defaultValue)
		.meta({expected: `one of ${choices.join(', ')}`, description, defaultText: defaultValue} satisfies SettingMeta);
};
