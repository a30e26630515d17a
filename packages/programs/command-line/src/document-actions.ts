/** The document commands without their flags and printing. */
import {formatDocumentFaults} from '@turmericbay/document';
import {operatorMessages} from '@turmericbay/peer-protocol';
import type {OperatorServiceClient} from '@turmericbay/peer-protocol';
import {z} from 'zod';
import {createUnknownOutcome, toReadFailure, toWriteFailure} from './connection-failures.js';
import {ExitCode, fail, succeed} from './outcome.js';
import type {CommandOutcome} from './outcome.js';
import {formatTable} from './table.js';

const {SubmitVerdict: submitVerdicts} = operatorMessages;

type Faults = ReadonlyArray<{readonly path: string; readonly message: string}>;

export type Change = {
	readonly reviewedVersion: number;
	readonly changeId: string;
	readonly author: string;
	/** True if this change identifier was submitted before. */
	readonly isRepeated: boolean;
};

const createInvalid = (faults: Faults): CommandOutcome => fail({
	exitCode: ExitCode.InvalidDocument,
	code: 'INVALID_DOCUMENT',
	message: `the document has ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}\n${formatDocumentFaults(faults)}`,
	next: 'correct the document and review it again; docs/document.md lists all fields',
	data: {faults: faults.map(({path, message}) => ({path, message}))},
});

const describeAccepted = ({version, confirmed, unconfirmed}: operatorMessages.SubmitDocumentResponse, changeId: string): CommandOutcome => succeed({
	text: [
		`version ${version} is in force`,
		`confirmed by ${confirmed.join(', ')}`,
		...(unconfirmed.length > 0 ? [`not confirmed by ${unconfirmed.join(', ')}; these learn of it within seconds or refuse keyed work until they do`] : []),
	].join('\n'),
	data: {
		version: Number(version), changeId, confirmed, unconfirmed,
	},
});

const describeAnswer = (answer: operatorMessages.SubmitDocumentResponse, change: Change): CommandOutcome => {
	const {changeId, isRepeated} = change;
	switch (answer.verdict) {
		case submitVerdicts.ACCEPTED: {
			return describeAccepted(answer, changeId);
		}

		case submitVerdicts.INVALID: {
			return createInvalid(answer.faults);
		}

		case submitVerdicts.CONFLICT: {
			return fail({
				exitCode: ExitCode.Conflict,
				code: 'CONFLICT',
				message: answer.message,
				next: `look at it with: turmericbay document show; review your change against it and submit with --reviewed ${answer.version}`,
				data: {version: Number(answer.version)},
			});
		}

		case submitVerdicts.NOT_APPLIED: {
			// The earlier request with this identifier may still be under way elsewhere.
			return isRepeated
				? createUnknownOutcome(`${answer.message}, and the earlier request may still take effect`, changeId)
				: fail({
					exitCode: ExitCode.Unavailable, code: 'NOT_APPLIED', message: answer.message, next: 'nothing has changed; submit again when the platform answers (see: turmericbay status)',
				});
		}

		case submitVerdicts.OUTCOME_UNKNOWN:
		case submitVerdicts.UNSPECIFIED: {
			return createUnknownOutcome(answer.message, changeId);
		}
	}
};

export const submitDocument = async (client: OperatorServiceClient, {documentJson, ...change}: Change & {readonly documentJson: string}): Promise<CommandOutcome> => {
	const {reviewedVersion, changeId, author} = change;
	try {
		return describeAnswer(await client.submitDocument({
			documentJson, reviewedVersion: BigInt(reviewedVersion), changeId, author,
		}), change);
	} catch (error) {
		return toWriteFailure(error, changeId);
	}
};

export const withdrawDocument = async (client: OperatorServiceClient, change: Change): Promise<CommandOutcome> => {
	const {reviewedVersion, changeId, author} = change;
	try {
		return describeAnswer(await client.withdrawDocument({reviewedVersion: BigInt(reviewedVersion), changeId, author}), change);
	} catch (error) {
		return toWriteFailure(error, changeId);
	}
};

const section = (title: string, lines: readonly string[]): readonly string[] => lines.length === 0 ? [] : [`${title}:`, ...lines.map(line => `  ${line}`)];

export const reviewDocument = async (client: OperatorServiceClient, {documentJson}: {readonly documentJson: string}): Promise<CommandOutcome> => {
	try {
		const {currentVersion, faults, changes, warnings} = await client.reviewDocument({documentJson});
		if (faults.length > 0) {
			return createInvalid(faults);
		}

		return succeed({
			text: [
				`reviewed against version ${currentVersion}`,
				...(changes.length === 0 ? ['no changes'] : section('changes', changes)),
				...section('warnings', warnings),
			].join('\n'),
			note: `submit with --reviewed ${currentVersion}`,
			data: {reviewedVersion: Number(currentVersion), changes, warnings},
		});
	} catch (error) {
		return toReadFailure(error);
	}
};

/** The document stays as it is stored: it may come from a newer program. */
const envelopeShape = z.looseObject({
	version: z.number(), author: z.string(), submittedAt: z.string(), document: z.unknown(),
});

export const showDocument = async (client: OperatorServiceClient, {version}: {readonly version: number}): Promise<CommandOutcome> => {
	try {
		const {envelopeJson} = await client.showDocument({version: BigInt(version)});
		const envelope = envelopeShape.parse(JSON.parse(envelopeJson));
		return succeed({
			text: JSON.stringify(envelope.document, undefined, '\t'),
			note: `version ${envelope.version}, submitted by ${envelope.author} at ${envelope.submittedAt}`,
			data: envelope,
		});
	} catch (error) {
		return toReadFailure(error);
	}
};

export const listHistory = async (client: OperatorServiceClient): Promise<CommandOutcome> => {
	try {
		const {entries} = await client.listHistory({});
		const rows = entries.map(({version, submittedAt, author, changeId}) => ({
			version: Number(version), submittedAt, author, changeId,
		}));
		return succeed({
			text: formatTable(['VERSION', 'SUBMITTED', 'AUTHOR', 'CHANGE'], rows.map(row => [row.version, row.submittedAt, row.author, row.changeId])),
			data: {entries: rows},
		});
	} catch (error) {
		return toReadFailure(error);
	}
};
