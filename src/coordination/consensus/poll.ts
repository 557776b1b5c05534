/** Sends a request to all members in parallel and resolves as soon as enough responses have arrived. */
import type { Message } from '../../protocol/messages.js';
import { memberId } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';

/** Responses, keyed by the id of the responding member. */
export type Votes = ReadonlyMap<string, Message>;
/** Sends a message to one member. Resolves to null if that member did not respond. */
export type RequestMember = (member: Member, message: Message) => Promise<Message | null>;

/**
 * Sends a request to all members. Calls `isEnough` after each response or failure with the number of requests still
 * pending, and resolves without waiting for those once it returns true.
 */
export function poll(
  members: readonly Member[],
  request: (member: Member) => Promise<Message | null>,
  isEnough: (votes: Votes, pending: number) => boolean,
): Promise<Votes> {
  function start(resolve: (votes: Votes) => void): void {
    const votes = new Map<string, Message>();
    let pending = members.length;
    if (pending === 0) resolve(votes);
    async function requestOne(member: Member): Promise<void> {
      const response = await request(member);
      pending -= 1;
      if (response) votes.set(memberId(member), response);
      if (pending === 0 || isEnough(votes, pending)) resolve(votes);
    }
    for (const member of members) void requestOne(member);
  }
  return new Promise(start);
}
