/** The target of a call to a worker. */
import type {WorkerRow} from '@turmericbay/scheduler';
import type {WorkerTarget} from './ports.js';

/** `isBound`: the call reaches only the process of the worker that the owner knows. */
export const describeTarget = ({registration: {id, address}, incarnation}: WorkerRow, isBound: boolean): WorkerTarget => ({
	id, address, ...(isBound && incarnation !== undefined && {incarnation}),
});
