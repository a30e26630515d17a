import test from 'ava';
import {formatSettingsErrors, loadSettings} from '../src/index.js';

const complete = `
[instance]
id = entry-a1
zone = zone-a
region = bavaria
[callers]
listen = 127.0.0.1:8080
[operations]
listen = 127.0.0.1:8081
token = operator-token-0123456789
[peers]
listen = [::1]:8082
secret = peer-secret-0123456789
member.entry-b1 = zone-b, 127.0.0.1:9082
[platform]
key-value = http://127.0.0.1:2379/
instances = http://127.0.0.1:2380
[telemetry]
log-level = debug
`;

const load = (text: string) => loadSettings({text, fileName: 'turmericbay.ini'});

// Guards against settings that are accepted but get other values than those in the file.
test('a complete file is read with defaults', t => {
	t.snapshot(load(complete)._unsafeUnwrap());
});

// Guards against a validation that stops at the first error or reveals a secret.
test('all errors are reported at once', t => {
	const text = `
stray = 1
[instance]
id = Entry A1
zone = zone-a
[callers]
listen = localhost:8080
[operations]
listen = 127.0.0.1:99999
token = short
[peers]
listen = 127.0.0.1:8082
listen = 127.0.0.1:8083
secret = peer-secret-0123456789
member.entry-b1 = 127.0.0.1:9082
member.entry-b2 = zone-b,127.0.0.1:0
member. = zone-b,127.0.0.1:1
[platform]
key-value = http://store.example:2379
instances = ftp://127.0.0.1
request-timeout-milliseconds = 5e3
headerLimitBytes = 4
[requests]
body-limit-bytes = -1
[telemetry]
log-level
trace-exporter = http://127.0.0.1:4318/?token=x
[cluster]
size = 3
`;
	t.snapshot(formatSettingsErrors(load(text)._unsafeUnwrapErr()));
});

// Guards against an instance that lists itself as a peer, and against two listeners on one port.
test('contradictions between settings are errors', t => {
	const text = complete.replace('member.entry-b1', 'member.entry-a1').replace('127.0.0.1:8081', '127.0.0.1:8080');
	t.snapshot(formatSettingsErrors(load(text)._unsafeUnwrapErr()));
});

// Guards against a file saved with a byte order mark or with the line endings of another system.
test('a byte order mark and carriage returns make no difference', t => {
	const text = `\u{FEFF}${complete.trim().replaceAll('\n', '\r\n')}`;
	t.deepEqual(load(text)._unsafeUnwrap(), load(complete)._unsafeUnwrap());
});
