/** Processor time, memory and bytes of a process, from the Linux proc file system. */
import {readFile} from 'node:fs/promises';

export type ProcessUsage = {
	readonly processorMilliseconds: number;
	readonly residentBytes: number;
	/** Bytes read and written by system calls, sockets and the log included. */
	readonly transferredBytes: number;
};

/** USER_HZ; 100 on all Linux builds of the supported architectures. */
const clockTicksPerSecond = 100;
const userTimeField = 11;
const systemTimeField = 12;

const readField = (text: string, name: string): number => {
	const match = new RegExp(String.raw`^${name}:\s+(?<value>\d+)`, 'mv').exec(text);
	return Number(match?.groups?.value ?? 0);
};

export const readProcessUsage = async (processId: number): Promise<ProcessUsage> => {
	const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map(async name => readFile(`/proc/${processId}/${name}`, 'utf8')));
	// The command name stands in parentheses and may hold spaces; fields are counted after it.
	const fields = (stat ?? '').slice((stat ?? '').lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	return {
		processorMilliseconds: ticks / clockTicksPerSecond * 1000,
		residentBytes: readField(status ?? '', 'VmRSS') * 1024,
		transferredBytes: readField(io ?? '', 'rchar') + readField(io ?? '', 'wchar'),
	};
};
