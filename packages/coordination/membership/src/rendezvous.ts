/** Rendezvous hashing: every instance computes the same ranking without communication. */
import {createHash} from 'node:crypto';

/** First 32 bits of SHA-256. */
export const hashText = (text: string): number => createHash('sha256').update(text).digest().readUInt32BE(0);

/** Candidates in descending order of their weight for the subject. */
export const rankByRendezvous = (options: {
	readonly subject: string;
	readonly candidates: readonly string[];
}): string[] => options.candidates
	.map(candidate => ({candidate, weight: hashText(`${options.subject}|${candidate}`)}))
	.toSorted((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1))
	.map(({candidate}) => candidate);
