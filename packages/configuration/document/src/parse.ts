/** Parses and validates documents and stored envelopes. */
import {Buffer} from 'node:buffer';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {toFaults} from './faults.js';
import type {DocumentFault} from './faults.js';
import {documentSchema, documentSchemaVersion, envelopeSchema} from './schema.js';
import type {ConfigurationDocument, DocumentEnvelope} from './schema.js';

/**
 * Maximum size of a document, both as submitted and as stored with its defaults.
 * The platform stores values of up to 1,048,576 bytes; the difference is
 * reserved for the envelope.
 */
export const maximumDocumentBytes = 1_000_000;

const createSizeFault = (bytes: number): DocumentFault => ({
	path: '', message: `the document has ${bytes} bytes, more than the ${maximumDocumentBytes} that the platform can store`,
});

const findMissingReferences = (document: ConfigurationDocument): readonly DocumentFault[] => Object.entries(document.queues)
	.flatMap(([queue, {pool, teams}]) => [
		...(Object.hasOwn(document.pools, pool) ? [] : [{path: `queues.${queue}.pool`, message: `there is no pool ${pool}`}]),
		...teams.flatMap((team, index) => Object.hasOwn(document.teams, team)
			? []
			: [{path: `queues.${queue}.teams.${index}`, message: `there is no team ${team}`}]),
	]);

const findDuplicateKeyIds = (document: ConfigurationDocument): readonly DocumentFault[] => {
	const firstPaths = new Map<string, string>();
	return Object.entries(document.teams).flatMap(([team, {keys}]) => keys.flatMap(({id}, index) => {
		const path = `teams.${team}.keys.${index}.id`;
		const firstPath = firstPaths.get(id);
		firstPaths.set(id, firstPath ?? path);
		return firstPath === undefined ? [] : [{path, message: `the key id ${id} also stands at ${firstPath}`}];
	}));
};

/** Checks what the schema cannot express: references between sections, and key ids that are unique in the document. */
export const findCrossReferenceFaults = (document: ConfigurationDocument): readonly DocumentFault[] => [
	...findMissingReferences(document),
	...findDuplicateKeyIds(document),
];

const parseJson = (text: string): Result<unknown, DocumentFault> => {
	try {
		return ok(JSON.parse(text));
	} catch (error) {
		return err({path: '', message: `not JSON: ${error instanceof Error ? error.message : String(error)}`});
	}
};

const readSchemaVersion = (value: unknown): unknown => typeof value === 'object' && value !== null ? Reflect.get(value, 'schemaVersion') : undefined;

/** Reports only the version if the document has another format, because this program cannot validate the fields of that format. */
const findVersionFault = (value: unknown): DocumentFault | undefined => {
	const schemaVersion = readSchemaVersion(value);
	return typeof schemaVersion === 'number' && schemaVersion !== documentSchemaVersion
		? {path: 'schemaVersion', message: `this program reads schemaVersion ${documentSchemaVersion}, the document has ${schemaVersion}`}
		: undefined;
};

const checkDocument = (value: unknown): Result<ConfigurationDocument, readonly DocumentFault[]> => {
	const versionFault = findVersionFault(value);
	if (versionFault !== undefined) {
		return err([versionFault]);
	}

	const outcome = documentSchema.safeParse(value);
	if (!outcome.success) {
		return err(toFaults(outcome.error));
	}

	const faults = findCrossReferenceFaults(outcome.data);
	return faults.length > 0 ? err(faults) : ok(outcome.data);
};

/** Validates a submitted document and fills in the defaults; returns all faults. */
export const parseDocument = ({text}: {readonly text: string}): Result<ConfigurationDocument, readonly DocumentFault[]> => {
	const bytes = Buffer.byteLength(text);
	if (bytes > maximumDocumentBytes) {
		return err([createSizeFault(bytes)]);
	}

	return parseJson(text).mapErr(fault => [fault])
		.andThen(checkDocument)
		.andThen(document => {
			const storedBytes = Buffer.byteLength(JSON.stringify(document));
			return storedBytes > maximumDocumentBytes ? err([createSizeFault(storedBytes)]) : ok(document);
		});
};

/**
 * Validates an envelope from the platform or a peer against the schema. Size
 * and references were checked by the instance that wrote the document, which
 * may have run another version of the program.
 */
export const parseEnvelope = ({text}: {readonly text: string}): Result<DocumentEnvelope, readonly DocumentFault[]> => parseJson(text)
	.mapErr(fault => [fault])
	.andThen(value => {
		const document: unknown = typeof value === 'object' && value !== null ? Reflect.get(value, 'document') : undefined;
		const versionFault = findVersionFault(document);
		if (versionFault !== undefined) {
			return err([{...versionFault, path: `document.${versionFault.path}`}]);
		}

		const outcome = envelopeSchema.safeParse(value);
		return outcome.success ? ok(outcome.data) : err(toFaults(outcome.error));
	});

/** One line per fault. */
export const formatDocumentFaults = (faults: readonly DocumentFault[]): string => faults
	.map(({path, message}) => path === '' ? message : `${path}: ${message}`)
	.join('\n');
