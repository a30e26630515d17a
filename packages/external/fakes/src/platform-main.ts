/** Entry point that runs the fake platform as a separate process. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {startPlatformControl} from './platform-control.js';
import {startPlatformServer} from './platform-server.js';
import {runProgram} from './program.js';

const {values} = parseArgs({
	options: {
		host: {type: 'string'},
		port: {type: 'string', default: '0'},
		'control-port': {type: 'string', default: '0'},
		'list-lag': {type: 'string', default: '0'},
		'reboot-time': {type: 'string', default: '1000'},
	},
});

const server = await startPlatformServer({
	host: values.host,
	port: Number(values.port),
	lagMilliseconds: Number(values['list-lag']),
	rebootMilliseconds: Number(values['reboot-time']),
});
const control = await startPlatformControl({state: server, host: values.host, port: Number(values['control-port'])});

runProgram({
	ready: {port: server.port, controlPort: control.port, processId: process.pid},
	async close() {
		await Promise.all([server.close(), control.close()]);
	},
});
