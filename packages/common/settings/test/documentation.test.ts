import {readFile} from 'node:fs/promises';
import test from 'ava';
import {formatSettingsErrors, formatSettingsTable, loadSettings} from '../src/index.js';

const page = await readFile(new URL('../../../../../docs/settings.md', import.meta.url), 'utf8');

// Guards against documentation of other settings than the daemon reads.
test('the table of docs/settings.md is current', t => {
	const lines = page.split('\n');
	t.deepEqual(formatSettingsTable().split('\n').filter(line => !lines.includes(line)), []);
	t.is(lines.filter(line => line.startsWith('| `[')).length, formatSettingsTable().split('\n').length - 2);
});

// Guards against an example that the daemon rejects.
test('the example of docs/settings.md is valid', t => {
	const example = /```ini\n(?<text>[^`]+)```/v.exec(page)?.groups?.text ?? '';
	const errors = loadSettings({text: example, fileName: 'settings.md'}).match(() => '', formatSettingsErrors);
	t.is(errors, '');
	t.true(example.length > 100);
});
