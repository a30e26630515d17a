/** Decides whether a received envelope replaces the one in force. */
import {isDeepStrictEqual} from 'node:util';
import type {DocumentEnvelope} from '@turmericbay/document';

export enum Adoption {
	Adopt = 'adopt',
	Same = 'same',
	Older = 'older',
	/** Same version, different content. */
	Conflict = 'conflict',
}

export const decideAdoption = ({inForce, candidate}: {
	readonly inForce: DocumentEnvelope | undefined;
	readonly candidate: DocumentEnvelope;
}): Adoption => {
	if (inForce === undefined || candidate.version > inForce.version) {
		return Adoption.Adopt;
	}

	if (candidate.version < inForce.version) {
		return Adoption.Older;
	}

	return isDeepStrictEqual(candidate, inForce) ? Adoption.Same : Adoption.Conflict;
};
