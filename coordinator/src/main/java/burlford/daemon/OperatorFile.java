package burlford.daemon;

import burlford.core.Site;
import burlford.search.Index;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an operator sets up off the platform, in YAML: the search front, an inventory in place of
 * discovery, the number of cores to serve on, and the members of the store: one file may serve all members, each finds
 * itself there by its name. Each fault names the file and the line or key. Parts left out are off; null stands for
 * them.
 */
public record OperatorFile(SearchFrontSettings search, Path inventory, StoreSettings store, int cores) {

    private static final int MOST_CORES = 64;

    public record SearchFrontSettings(InetSocketAddress listen, String cluster, Map<String, Index> indices) { }

    /** member: this one; peers, admins: where each member listens to the others, and where to operators. */
    public record StoreSettings(String member, Path directory, Map<String, InetSocketAddress> adminAddresses,
            Map<String, InetSocketAddress> peerAddresses) { }

    public static final OperatorFile NONE = new OperatorFile(null, null, null, 1);

    /** name: the coordinator's, which says which member of the store it is. */
    public static OperatorFile read(Path file, byte[] text, String name, Site site)
            throws Configuration.InvalidConfigurationException {
        JsonNode root;
        try {
            root = new YAMLMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new Configuration.InvalidConfigurationException(file + " line " + (e.getLocation() == null ? 1
                    : e.getLocation().getLineNr()) + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new Configuration.InvalidConfigurationException(file + " cannot be read: " + e);
        }
        if (root == null || !root.isObject()) {
            throw new Configuration.InvalidConfigurationException(file + " line 1: not a mapping");
        }
        Section top = new Section(file.toString(), "", root);
        top.only(Set.of("search", "inventory", "store", "cores"));
        String inventory = top.text("inventory", null);
        return new OperatorFile(root.has("search") ? search(top.section("search"), site) : null,
                inventory == null ? null : file.resolveSibling(inventory),
                root.has("store") ? store(top.section("store"), file, name) : null, cores(top));
    }

    private static int cores(Section top) throws Configuration.InvalidConfigurationException {
        JsonNode cores = top.node.path("cores");
        if (!cores.isMissingNode() && !(cores.isInt() && cores.intValue() >= 1 && cores.intValue() <= MOST_CORES)) {
            throw top.bad("cores", "not a whole number from 1 to " + MOST_CORES + ": " + cores);
        }
        return cores.asInt(1);
    }

    private static StoreSettings store(Section store, Path file, String name)
            throws Configuration.InvalidConfigurationException {
        store.only(Set.of("directory", "members"));
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        Map<String, InetSocketAddress> admins = new LinkedHashMap<>();
        Section members = store.section("members");
        for (Map.Entry<String, JsonNode> e : members.node.properties()) {
            Section member = members.section(e.getKey());
            member.only(Set.of("peers", "admin"));
            peers.put(e.getKey(), member.address("peers"));
            admins.put(e.getKey(), member.address("admin"));
        }
        if (!peers.containsKey(name)) {
            throw store.bad("members", "the coordinator's name is not among them: " + name);
        }
        String directory = store.text("directory", null);
        if (directory == null) {
            throw store.bad("directory", "missing");
        }
        return new StoreSettings(name, file.resolveSibling(directory), admins, peers);
    }

    private static SearchFrontSettings search(Section search, Site site)
            throws Configuration.InvalidConfigurationException {
        search.only(Set.of("listen", "cluster", "indices"));
        Map<String, Index> indices = new LinkedHashMap<>();
        Section all = search.section("indices");
        for (Map.Entry<String, JsonNode> e : all.node.properties()) {
            indices.put(e.getKey(), index(e.getKey(), all.section(e.getKey()), site));
        }
        return new SearchFrontSettings(search.address("listen"), search.text("cluster", "burlford"), indices);
    }

    private static Index index(String name, Section index, Site site)
            throws Configuration.InvalidConfigurationException {
        index.only(Set.of("class", "tenant", "tenant_header", "key", "shards", "deadline_ms", "deadline_header"));
        String kind = index.text("class", "");
        int queryClass = site.classes().indexOf(kind);
        if (queryClass < 0) {
            throw index.bad("class", "unknown class " + kind);
        }
        String header = index.text("tenant_header", null);
        String owner = index.text("tenant", null);
        int tenant = owner == null ? 0 : site.tenants().indexOf(owner);
        if (tenant < 0 || !site.tenants().isEmpty() && (owner == null) == (header == null)) {
            throw index.bad("tenant", owner == null ? "give tenant or tenant_header" : "unknown tenant " + owner);
        }
        String key = index.text("key", "none");
        if (!key.equals("routing") && !key.equals("none")) {
            throw index.bad("key", "not routing or none: " + key);
        }
        List<Integer> shards = new ArrayList<>();
        for (JsonNode s : index.node.path("shards")) {
            if (!s.canConvertToInt() || s.intValue() < 0 || s.intValue() >= site.shards()
                    || shards.contains(s.intValue())) {
                throw index.bad("shards", "not a shard from 0 to " + (site.shards() - 1) + ", or named twice: " + s);
            }
            shards.add(s.intValue());
        }
        if (shards.isEmpty()) {
            throw index.bad("shards", "not a list of shards");
        }
        JsonNode deadline = index.node.path("deadline_ms");
        if (!deadline.canConvertToInt() || deadline.intValue() < 1) {
            throw index.bad("deadline_ms", "not a whole number of milliseconds: " + deadline);
        }
        return new Index(name, queryClass, tenant, header, key.equals("routing"), List.copyOf(shards),
                deadline.intValue(), index.text("deadline_header", null));
    }

    /** A mapping of the file, which knows its own key for the faults found in it. */
    private record Section(String file, String path, JsonNode node) {

        Configuration.InvalidConfigurationException bad(String key, String fault) {
            return new Configuration.InvalidConfigurationException(file + " " + path + key + ": " + fault);
        }

        void only(Set<String> known) throws Configuration.InvalidConfigurationException {
            for (Map.Entry<String, JsonNode> e : node.properties()) {
                if (!known.contains(e.getKey())) {
                    throw bad(e.getKey(), "unknown key");
                }
            }
        }

        Section section(String key) throws Configuration.InvalidConfigurationException {
            JsonNode inner = node.get(key);
            if (inner == null || !inner.isObject()) {
                throw bad(key, "not a mapping");
            }
            return new Section(file, path + key + ".", inner);
        }

        InetSocketAddress address(String key) throws Configuration.InvalidConfigurationException {
            return Configuration.parseAddress(file, path + key, text(key, ""));
        }

        String text(String key, String absent) throws Configuration.InvalidConfigurationException {
            JsonNode value = node.get(key);
            if (value == null || value.isNull()) {
                return absent;
            }
            if (!value.isValueNode()) {
                throw bad(key, "not a plain value");
            }
            return value.asText();
        }
    }
}
