#!/usr/bin/env node
/** Program `turmericbayd`: runs one entry instance in the foreground. */
import {randomBytes} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatSettingsErrors, loadSettings} from '@turmericbay/settings';
import type {Settings} from '@turmericbay/settings';
import {
	createLogger, createMetrics, createTracing, LogEvent, parseLogLevel, LogLevel, setLogWriter,
} from '@turmericbay/telemetry';
import {createSystemClock} from '@turmericbay/types';
import {createDaemon} from './daemon.js';
import {createOperatorService} from './operator-service.js';
import {createPlatformClients} from './platform-clients.js';

/** Exit codes from sysexits.h. */
const exitUsage = 64;
const exitUnavailable = 69;
const exitConfiguration = 78;

const fail = (message: string, exitCode: number): never => {
	process.stderr.write(`turmericbayd: ${message}\n`);
	process.exit(exitCode);
};

const readSettings = async (): Promise<Settings> => {
	const {values} = parseArgs({options: {settings: {type: 'string'}}});
	const fileName = values.settings ?? fail('usage: turmericbayd --settings <file.ini>', exitUsage);
	const text = await readFile(fileName, 'utf8').catch((error: unknown) =>
		fail(`the settings file cannot be read: ${String(error)}`, exitConfiguration));
	return loadSettings({text, fileName}).match(
		settings => settings,
		faults => fail(`the settings have faults\n${formatSettingsErrors(faults)}`, exitConfiguration),
	);
};

const run = async (): Promise<void> => {
	const settings = await readSettings();
	const {instance, telemetry} = settings;
	const clock = createSystemClock();
	setLogWriter(line => {
		process.stdout.write(`${line}\n`);
	});
	const logger = createLogger({
		minimumLevel: parseLogLevel(telemetry.logLevel) ?? LogLevel.Information,
		context: {instance: instance.id, zone: instance.zone},
	});
	const daemon = createDaemon({
		settings,
		identity: {instance: instance.id, incarnation: randomBytes(8).toString('hex')},
		clock,
		random: Math.random,
		logger,
		metrics: createMetrics(),
		tracing: telemetry.traceExporter === undefined
			? undefined
			: createTracing({instance: instance.id, exporterAddress: telemetry.traceExporter}),
		platform: createPlatformClients({settings, clock}),
		createOperatorService,
	});
	const stop = async () => {
		await daemon.stop();
		process.exit(0);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}

	try {
		await daemon.start();
	} catch (error) {
		logger.log(LogEvent.ListenFailed, {detail: String(error)});
		process.exit(exitUnavailable);
	}
};

await run();
