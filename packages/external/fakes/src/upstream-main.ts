/** Entry point that runs a fake upstream as a separate process. On SIGTERM it finishes the running requests before it exits. */
import {appendFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runProgram} from './program.js';
import {startUpstreamControl} from './upstream-control.js';
import {defaultSlots, startUpstreamServer} from './upstream-server.js';

const {values} = parseArgs({
	options: {
		instance: {type: 'string', default: 'upstream'},
		host: {type: 'string'},
		port: {type: 'string', default: '0'},
		'control-port': {type: 'string', default: '0'},
		slots: {type: 'string', default: String(defaultSlots)},
		'run-time': {type: 'string', default: '0'},
		'run-log': {type: 'string'},
	},
});

const runLog = values['run-log'];
const upstream = await startUpstreamServer({
	instance: values.instance,
	host: values.host,
	port: Number(values.port),
	slots: Number(values.slots),
	runMilliseconds: Number(values['run-time']),
	onRunStart(run) {
		if (runLog !== undefined) {
			// Written synchronously, so that the run is recorded even if the process is killed during it.
			appendFileSync(runLog, `${JSON.stringify(run)}\n`);
		}
	},
});
const control = await startUpstreamControl({upstream, host: values.host, port: Number(values['control-port'])});

runProgram({
	ready: {port: upstream.port, controlPort: control.port, processId: process.pid},
	async close() {
		await upstream.drain();
		await control.close();
	},
});
