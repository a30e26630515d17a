import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {documentText, operatorToken, startStubEntryInstance} from './stub-entry-instance.js';

const program = fileURLToPath(new URL('../src/main.js', import.meta.url));

type Run = {readonly exitCode: number; readonly output: string; readonly errors: string};

const run = async (options: {readonly commandLine: readonly string[]; readonly input?: string; readonly address: string; readonly token?: string}): Promise<Run> => new Promise(resolve => {
	const {commandLine, input = '', address, token} = options;
	const environment = new Map([['TURMERICBAY_SERVER', address], ...(token === undefined ? [] : [['TURMERICBAY_TOKEN', token] as const])]);
	const maskVariableText = (text: string) => text.replaceAll(/127\.0\.0\.1:\d+/gv, '<server>').replaceAll(/[\da-f]{8}-[\da-f\-]{27}/gv, '<change>');
	const child = execFile(process.execPath, [program, ...commandLine], {env: Object.fromEntries(environment)}, (error, output, errors) => {
		resolve({exitCode: typeof error?.code === 'number' ? error.code : 0, output: maskVariableText(output), errors: maskVariableText(errors)});
	});
	child.stdin?.end(input);
});

const submit = (author: string, ...rest: readonly string[]) => ['document', 'submit', '-', '--reviewed', '4', '--author', author, ...rest];

const cases: ReadonlyArray<readonly [title: string, commandLine: readonly string[], input?: string]> = [
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
	['invalid settings', ['settings', 'check', '-'], '[instance]\nid = entry-a1\n'],
	['a missing flag as JSON', ['document', 'submit', '-', '--json', '--token', operatorToken]],
	['a file that does not exist', ['settings', 'check', 'missing.ini']],
	['an invalid server address', ['status', '--server', 'entry-a1']],
	['help', ['document', 'submit', '--help']],
];

// Guards against unintended changes of output, exit codes or hints, on which scripts depend.
test('every command prints the documented output', async t => {
	const {address, stop} = await startStubEntryInstance();
	t.teardown(stop);
	const runs = await Promise.all(cases.map(async ([title, commandLine, input]) => ({
		title, ...await run({
			commandLine, input, address, token: operatorToken,
		}),
	})));
	for (const {title, ...result} of runs) {
		t.snapshot(result, `${title}`);
	}

	t.deepEqual(runs.filter(({output, errors}) => `${output}${errors}`.includes(operatorToken)), []);
});

// Guards against reporting a refused token as an outage, or an outage as a refused token.
test('a refused token and an unreachable server are reported differently', async t => {
	const {address, stop} = await startStubEntryInstance();
	const withWrongToken = await run({commandLine: ['status'], address, token: 'another-token-0123456789'});
	const withoutToken = await run({commandLine: ['status'], address});
	stop();
	const afterStop = await run({
		commandLine: submit('accepted'), input: documentText, address, token: operatorToken,
	});
	t.snapshot([withWrongToken, withoutToken, afterStop]);
});

// Guards against a key whose declaration has another id or is not printed.
test('a new key is printed with its declaration', async t => {
	const {exitCode, output} = await run({commandLine: ['key', 'create'], address: ''});
	t.is(exitCode, 0);
	t.regex(output, /tbk_(?<id>[\da-f]{16})_[\w\-]{43}\n[^\n]+\n\{"id":"\k<id>","salt":"[\da-f]{32}","hash":"[\da-f]{64}"\}/v);
});
