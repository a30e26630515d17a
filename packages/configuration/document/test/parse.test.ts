import test from 'ava';
import {
	formatDocumentFaults, maximumDocumentBytes, parseDocument, parseEnvelope,
} from '../src/index.js';
import {createKeyDeclaration, smallDocument} from './documents.js';

const formatFaultsOf = (value: unknown): string => formatDocumentFaults(parseDocument({text: JSON.stringify(value)})._unsafeUnwrapErr());

// Guards against unintended changes of the defaults, which are stored with each document.
test('a small document is filled with defaults', t => {
	t.snapshot(parseDocument({text: JSON.stringify(smallDocument)})._unsafeUnwrap());
});

// Guards against validation that stops at the first fault or omits its path.
test('every schema fault is listed with its path', t => {
	t.snapshot(formatFaultsOf({
		schemaVersion: 1,
		pools: {'Rug Wash': {kind: 'upstream'}, wash: {kind: 'water', slots: 1}},
		teams: {booking: {share: 0, limit: 1.5, keys: [{id: 'x', salt: '', hash: ''}]}},
		queues: {invoices: {timeoutMilliseconds: 0, whenUnconfirmed: {action: 'serve'}}},
		surplus: true,
	}));
});

// Guards against references to missing pools or teams, including names that every object inherits, such as `constructor`.
test('cross references are checked', t => {
	const key = createKeyDeclaration(1);
	t.snapshot(formatFaultsOf({
		...smallDocument,
		teams: {booking: {share: 1, limit: 1, keys: [key]}, pricing: {share: 1, limit: 1, keys: [key]}},
		queues: {
			invoices: {pool: 'constructor', teams: ['booking', 'nobody']},
			quotes: {pool: 'press', teams: ['constructor']},
		},
	}));
});

// Guards against documents that are too large for the platform, are not JSON or are not an object.
test('text that is too large or not a JSON object is a fault', t => {
	const large = `{"schemaVersion": 1${' '.repeat(maximumDocumentBytes)}}`;
	t.snapshot([large, '{"schemaVersion": 1,', '', 'null', '[]'].map(text => formatDocumentFaults(parseDocument({text})._unsafeUnwrapErr())));
});

// Guards against a document that exceeds the size limit only with its defaults, and so cannot be stored.
test('the size is checked with the defaults filled in', t => {
	const queues = Object.fromEntries(Array.from({length: 8000}, (_, index) => [`queue-${index}`, {pool: 'wash'}]));
	const text = JSON.stringify({...smallDocument, queues});
	t.true(text.length < maximumDocumentBytes / 2);
	t.regex(formatDocumentFaults(parseDocument({text})._unsafeUnwrapErr()), /more than the/v);
});

// Guards against reporting the unknown fields of a newer document format as faults.
test('a newer schemaVersion is the only fault', t => {
	t.is(formatFaultsOf({...smallDocument, schemaVersion: 2, shapes: []}), 'schemaVersion: this program reads schemaVersion 1, the document has 2');
	const envelope = {version: 3, document: {schemaVersion: 2}};
	t.is(
		formatDocumentFaults(parseEnvelope({text: JSON.stringify(envelope)})._unsafeUnwrapErr()),
		'document.schemaVersion: this program reads schemaVersion 1, the document has 2',
	);
});
