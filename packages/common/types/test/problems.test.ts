import test from 'ava';
import {ProblemCode, problemKinds} from '../src/index.js';

// Guards against a code whose status or outcome changes unnoticed: callers act on both.
test('every problem code has a status and an outcome', t => {
	const rows = Object.values(ProblemCode).map(code => {
		const {status, outcome, title} = problemKinds[code];
		return `${code} ${status} ${outcome}: ${title}`;
	});
	t.snapshot(rows);
});
