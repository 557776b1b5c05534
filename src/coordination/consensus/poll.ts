/** Asks all members at once and resolves as soon as the answers are enough; nobody waits for the rest. */
import type { Message } from '../../protocol/messages.js';
import { memberId } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';

/** Answers by the id of the member that gave them. */
export type Votes = ReadonlyMap<string, Message>;
/** Sends a message to one member; null if no answer of that member came. */
export type RequestMember = (member: Member, message: Message) => Promise<Message | null>;

/** Sends to all members; `enough` is asked after each answer, with the number of those still open. */
export function poll(
  members: readonly Member[],
  request: (member: Member) => Promise<Message | null>,
  enough: (votes: Votes, open: number) => boolean,
): Promise<Votes> {
  function start(resolve: (votes: Votes) => void): void {
    const votes = new Map<string, Message>();
    let open = members.length;
    if (open === 0) resolve(votes);
    async function one(member: Member): Promise<void> {
      const response = await request(member);
      open -= 1;
      if (response) votes.set(memberId(member), response);
      if (open === 0 || enough(votes, open)) resolve(votes);
    }
    for (const member of members) void one(member);
  }
  return new Promise(start);
}
