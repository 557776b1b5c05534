/** A crowd of clients whose bodies stop short of their end, at one node while everything else goes on. */
import { API_PATH } from '../../platform/words.js';
import { Crowd, SCRIPT_DEFAULTS } from '../overload/crowd.js';
import { headWithLength, PART_BYTES, repeated } from '../overload/overload-case.js';
import type { SiteNode } from '../site.js';

const CROWD_SIZE = 60;
/** What each announces, and how many parts of it are sent. Together they are more than a node holds for its callers. */
const BODY_BYTES = 1_048_576;
const PARTS_SENT = 15;

/** Opens the crowd; the returned function ends it. */
export function openStalledBodies(node: SiteNode): () => void {
  const crowd = new Crowd();
  const [ip, port] = (node.core ? node.control : node.edge).split(':') as [string, string];
  const path = node.core ? API_PATH.replace : '/book/2f';
  const script = {
    ...SCRIPT_DEFAULTS,
    head: headWithLength(path, BODY_BYTES),
    parts: () => repeated(Buffer.alloc(PART_BYTES, 'x'), PARTS_SENT),
  };
  void crowd.join({ ip, port: Number(port) }, [{ count: CROWD_SIZE, script }]);
  return () => crowd.leave();
}
