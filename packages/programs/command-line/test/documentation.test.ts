import {readFile} from 'node:fs/promises';
import test from 'ava';
import {commands, ExitCode} from '../src/index.js';

const page = await readFile(new URL('../../../../../docs/command-line.md', import.meta.url), 'utf8');
const rows = page.split('\n').filter(line => line.startsWith('| '));

// Guards against commands, flags or exit codes that are missing from the page, and against documented ones that do not exist.
test('docs/command-line.md lists every command, flag and exit code', t => {
	const documented = rows.flatMap(row => /^\| `turmericbay (?<name>[a-z]+(?: [a-z]+)?)/v.exec(row)?.groups?.name ?? []);
	t.deepEqual(documented.toSorted(), Object.keys(commands).map(name => name.replace(':', ' ')).toSorted());
	const flags = new Set(Object.values(commands).flatMap(command => Object.keys(command.flags ?? {})));
	t.deepEqual([...flags].filter(flag => !page.includes(`--${flag}`)), []);
	const codes = rows.flatMap(row => /^\| (?<code>\d+) \|/v.exec(row)?.groups?.code ?? []);
	t.deepEqual(codes.map(Number), Object.values(ExitCode).filter(code => typeof code === 'number').toSorted((left, right) => left - right));
});
