import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {documentText, operatorToken, startEntryInstance} from './scripted-entry-instance.js';

const program = fileURLToPath(new URL('../src/main.js', import.meta.url));

type Run = {readonly exitCode: number; readonly output: string; readonly errors: string};

const run = async (options: {readonly list: readonly string[]; readonly input?: string; readonly address: string; readonly token?: string}): Promise<Run> => new Promise(resolve => {
	const {list, input = '', address, token} = options;
	const environment = new Map([['TURMERICBAY_SERVER', address], ...(token === undefined ? [] : [['TURMERICBAY_TOKEN', token] as const])]);
	const clean = (text: string) => text.replaceAll(/127\.0\.0\.1:\d+/gv, '<server>').replaceAll(/[\da-f]{8}-[\da-f\-]{27}/gv, '<change>');
	const child = execFile(process.execPath, [program, ...list], {env: Object.fromEntries(environment)}, (error, output, errors) => {
		resolve({exitCode: typeof error?.code === 'number' ? error.code : 0, output: clean(output), errors: clean(errors)});
	});
	child.stdin?.end(input);
});

const submit = (author: string, ...rest: readonly string[]) => ['document', 'submit', '-', '--reviewed', '4', '--author', author, ...rest];

const cases: ReadonlyArray<readonly [title: string, list: readonly string[], input?: string]> = [
	['a submit that is accepted', submit('accepted'), documentText],
	['a submit that is accepted, as JSON', submit('accepted', '--json', '--change-id', 'change-5'), documentText],
	['a submit with an invalid document', submit('invalid'), documentText],
	['a submit after a newer one', submit('conflict'), documentText],
	['a submit that was not applied', submit('not-applied'), documentText],
	['a repeated submit that was not applied', submit('not-applied', '--change-id', 'change-5'), documentText],
	['a submit with an unknown outcome', submit('unknown', '--change-id', 'change-5', '--json'), documentText],
	['a withdrawal', ['document', 'withdraw', '--reviewed', '4', '--author', 'accepted']],
	['a review', ['document', 'review', '-'], documentText.replace('"limit":10', '"limit":6').replace('"quotes"', '"prices"')],
	['a review of an invalid document as JSON', ['document', 'review', '-', '--json'], '{"schemaVersion": 2}'],
	['the document', ['document', 'show']],
	['a version that is not stored', ['document', 'show', '--version', '99']],
	['the history', ['document', 'history']],
	['the status', ['status']],
	['the status as JSON', ['status', '--json']],
	['the maintenance status', ['maintenance', 'status']],
	['faulty settings', ['settings', 'check', '-'], '[instance]\nid = entry-a1\n'],
	['a missing flag as JSON', ['document', 'submit', '-', '--json', '--token', operatorToken]],
	['a file that does not exist', ['settings', 'check', 'missing.ini']],
	['an address that is none', ['status', '--server', 'entry-a1']],
	['help', ['document', 'submit', '--help']],
];

// Guards against output, exit codes or hints that change unnoticed: scripts depend on them.
test('every command answers as documented', async t => {
	const {address, stop} = await startEntryInstance();
	t.teardown(stop);
	const runs = await Promise.all(cases.map(async ([title, list, input]) => ({
		title, ...await run({
			list, input, address, token: operatorToken,
		}),
	})));
	for (const {title, ...result} of runs) {
		t.snapshot(result, `${title}`);
	}

	t.deepEqual(runs.filter(({output, errors}) => `${output}${errors}`.includes(operatorToken)), []);
});

// Guards against a refused token that looks like an outage, and the other way round.
test('a refused token and an unreachable server differ', async t => {
	const {address, stop} = await startEntryInstance();
	const refused = await run({list: ['status'], address, token: 'another-token-0123456789'});
	const missing = await run({list: ['status'], address});
	stop();
	const unreachable = await run({
		list: submit('accepted'), input: documentText, address, token: operatorToken,
	});
	t.snapshot([refused, missing, unreachable]);
});

// Guards against a key whose parts do not fit together or that is printed without its declaration.
test('a new key is printed with its declaration', async t => {
	const {exitCode, output} = await run({list: ['key', 'create'], address: ''});
	t.is(exitCode, 0);
	t.regex(output, /tbk_(?<id>[\da-f]{16})_[\w\-]{43}\n[^\n]+\n\{"id":"\k<id>","salt":"[\da-f]{32}","hash":"[\da-f]{64}"\}/v);
});
