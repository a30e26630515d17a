import test from 'ava';
import {
	formatDocumentFaults, maximumDocumentBytes, parseDocument, parseEnvelope,
} from '../src/index.js';
import {createKeyDeclaration, smallDocument} from './documents.js';

const faultsOf = (value: unknown): string => formatDocumentFaults(parseDocument({text: JSON.stringify(value)})._unsafeUnwrapErr());

// Guards against defaults that change unnoticed: a stored document keeps them.
test('a small document is filled with defaults', t => {
	t.snapshot(parseDocument({text: JSON.stringify(smallDocument)})._unsafeUnwrap());
});

// Guards against a check that stops at the first fault or names no path.
test('every schema fault is listed with its path', t => {
	t.snapshot(faultsOf({
		schemaVersion: 1,
		pools: {'Rug Wash': {kind: 'upstream'}, wash: {kind: 'water', slots: 1}},
		teams: {booking: {share: 0, limit: 1.5, keys: [{id: 'x', salt: '', hash: ''}]}},
		queues: {invoices: {timeoutMilliseconds: 0, whenUnconfirmed: {action: 'serve'}}},
		surplus: true,
	}));
});

// Guards against references to nothing, also by a name that every object inherits.
test('cross references are checked', t => {
	const key = createKeyDeclaration(1);
	t.snapshot(faultsOf({
		...smallDocument,
		teams: {booking: {share: 1, limit: 1, keys: [key]}, pricing: {share: 1, limit: 1, keys: [key]}},
		queues: {
			invoices: {pool: 'constructor', teams: ['booking', 'nobody']},
			quotes: {pool: 'press', teams: ['constructor']},
		},
	}));
});

// Guards against a document that the platform cannot store or that is no JSON at all.
test('unusable text is one fault', t => {
	const large = `{"schemaVersion": 1${' '.repeat(maximumDocumentBytes)}}`;
	t.snapshot([large, '{"schemaVersion": 1,', '', 'null', '[]'].map(text => formatDocumentFaults(parseDocument({text})._unsafeUnwrapErr())));
});

// Guards against a document whose defaults take it over the limit after the check of its text.
test('the size is checked with the defaults filled in', t => {
	const queues = Object.fromEntries(Array.from({length: 8000}, (_, index) => [`queue-${index}`, {pool: 'wash'}]));
	const text = JSON.stringify({...smallDocument, queues});
	t.true(text.length < maximumDocumentBytes / 2);
	t.regex(formatDocumentFaults(parseDocument({text})._unsafeUnwrapErr()), /more than the/v);
});

// Guards against an old reader that judges the unknown fields of a newer format.
test('a newer schemaVersion is the only fault', t => {
	t.is(faultsOf({...smallDocument, schemaVersion: 2, shapes: []}), 'schemaVersion: this program reads schemaVersion 1, the document has 2');
	const envelope = {version: 3, document: {schemaVersion: 2}};
	t.is(
		formatDocumentFaults(parseEnvelope({text: JSON.stringify(envelope)})._unsafeUnwrapErr()),
		'document.schemaVersion: this program reads schemaVersion 1, the document has 2',
	);
});
