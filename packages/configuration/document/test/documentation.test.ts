import {readFile} from 'node:fs/promises';
import test from 'ava';
import {formatDocumentFaults, parseDocument, reviewDocument} from '../src/index.js';
import {formatJsonSchema, replaceFieldTables} from '../src/documentation.js';

const root = new URL('../../../../../', import.meta.url);
const readRoot = async (path: string): Promise<string> => readFile(new URL(path, root), 'utf8');

// Guards against a published schema that differs from the validation; `npm run documentation` regenerates it.
test('the published JSON Schema is current', async t => {
	t.is(await readRoot('packages/configuration/document/schema/document.schema.json'), formatJsonSchema());
});

// Guards against a page whose fields differ from those that the program accepts.
test('the tables of docs/document.md are current', async t => {
	const page = await readRoot('docs/document.md');
	t.is(page, replaceFieldTables(page));
	t.regex(page, /### `queues\.<name>`/v);
});

// Guards against examples that are invalid or cause warnings in a review.
test('the example documents have no faults and no warnings', async t => {
	const names = ['waschring', 'cascade'];
	const reviews = await Promise.all(names.map(async name => {
		const document = parseDocument({text: await readRoot(`examples/${name}.json`)});
		return document.match(
			next => reviewDocument({
				current: undefined, next, observed: {runningByTeam: new Map(), instancesByPool: new Map(Object.keys(next.pools).map(pool => [pool, 8]))},
			}).warnings,
			faults => [formatDocumentFaults(faults)],
		);
	}));
	t.deepEqual(reviews, [[], []]);
});
