import {readFile} from 'node:fs/promises';
import test from 'ava';
import {formatDocumentFaults, parseDocument, reviewDocument} from '../src/index.js';
import {formatJsonSchema, replaceFieldTables} from '../src/documentation.js';

const root = new URL('../../../../../', import.meta.url);
const readRoot = async (path: string): Promise<string> => readFile(new URL(path, root), 'utf8');

// Guards against a published schema that lags behind the checks; `npm run documentation` renews it.
test('the published JSON Schema is current', async t => {
	t.is(await readRoot('packages/configuration/document/schema/document.schema.json'), formatJsonSchema());
});

// Guards against a page that describes other fields than the program checks.
test('the tables of docs/document.md are current', async t => {
	const page = await readRoot('docs/document.md');
	t.is(page, replaceFieldTables(page));
	t.regex(page, /### `queues\.<name>`/v);
});

// Guards against examples that do not pass the checks or that a review warns about.
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
