/** Reads CPU time, memory and transferred bytes of a process from the Linux `/proc` file system. */
import {readFile} from 'node:fs/promises';

export type ProcessUsage = {
	readonly processorMilliseconds: number;
	readonly residentBytes: number;
	/** Bytes read and written by system calls, including sockets and the log file. */
	readonly transferredBytes: number;
};

/** USER_HZ, which is 100 on all supported architectures. */
const clockTicksPerSecond = 100;
const userTimeField = 11;
const systemTimeField = 12;

const readField = (text: string, name: string): number => {
	const match = new RegExp(String.raw`^${name}:\s+(?<value>\d+)`, 'mv').exec(text);
	return Number(match?.groups?.value ?? 0);
};

export const readProcessUsage = async (processId: number): Promise<ProcessUsage> => {
	const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map(async name => readFile(`/proc/${processId}/${name}`, 'utf8')));
	// The command name is in parentheses and may contain spaces, so field numbers count from the end of it.
	const fields = (stat ?? '').slice((stat ?? '').lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	return {
		processorMilliseconds: ticks / clockTicksPerSecond * 1000,
		residentBytes: readField(status ?? '', 'VmRSS') * 1024,
		transferredBytes: readField(io ?? '', 'rchar') + readField(io ?? '', 'wchar'),
	};
};
